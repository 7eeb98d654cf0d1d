package copperglade.storage

import copperglade.protocol.JobId
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A cache of the end records of jobs, with the least recently used records evicted first. Evicted records are read from the state service.
 *
 * @param retryInterval the interval between attempts to send queued reads while the request budget is exhausted.
 * @param maxCached the maximum number of cached end records.
 * @param onRead called after an end record has been read from the state service.
 */
internal class EndRecordCache(
    private val loop: EventLoop,
    private val store: StateClient,
    private val retryInterval: Duration,
    private val maxCached: Int,
    private val onRead: (JobId) -> Unit,
) {
    private val cached = object : LinkedHashMap<JobId, EndRecord>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<JobId, EndRecord>?) = size > maxCached
    }

    /** Reads that have not been sent, with their callers, in the order of the calls. */
    private val queued = LinkedHashMap<JobId, ArrayList<(ReadOutcome) -> Unit>>()
    private var retryScheduled = false
    private var loadStarted = false

    operator fun get(id: JobId): EndRecord? = cached[id]

    /** Caches an end record. A malformed record is ignored. */
    fun cache(id: JobId, record: EncodedRecord) {
        cached[id] = record.ended() ?: return
    }

    /**
     * Reads the end record of a job from the state service; reads are sent in the order of the calls. Calls back with
     * [ReadOutcome.Failed] at once if the queue is full.
     *
     * A record is cached even if the caller no longer waits, so that the caller's retry is answered at once. Otherwise, requests for some
     * jobs would get no answer for minutes after a restart.
     */
    fun read(id: JobId, done: (ReadOutcome) -> Unit) {
        val callers = queued[id]
        when {
            callers != null && callers.size < MAX_CALLERS_PER_JOB -> callers += done
            callers != null || queued.size >= MAX_QUEUED_JOBS -> done(ReadOutcome.Failed)
            else -> {
                queued[id] = arrayListOf(done)
                sendQueued()
            }
        }
    }

    private fun sendQueued() {
        while (queued.isNotEmpty() && store.hasReadBudget()) {
            val (id, callers) = queued.entries.first()
            // Later callers need a read of their own, because the answer to this one may predate their call.
            queued.remove(id)
            store.read(Keys.ended(id)) { outcome -> received(id, outcome, callers) }
        }
        if (queued.isEmpty() || retryScheduled) return
        retryScheduled = true
        loop.after(retryInterval) {
            retryScheduled = false
            sendQueued()
        }
    }

    private fun received(id: JobId, outcome: ReadOutcome, callers: List<(ReadOutcome) -> Unit>) {
        if (outcome is ReadOutcome.Present) {
            cache(id, outcome.value)
            onRead(id)
        }
        callers.forEach { it(outcome) }
    }

    /** Fills the cache once after the start, page by page, because users may ask for jobs that ended before. */
    fun loadOnce() {
        if (loadStarted) return
        loadStarted = true
        loop.after(LOAD_INTERVAL) { load(from = null) }
    }

    private fun load(from: String?): Unit = store.list(Keys.ENDED, from) { outcome ->
        when (outcome) {
            ListOutcome.Failed -> if (cached.size < maxCached) loop.after(LOAD_INTERVAL) { load(from) }
            is ListOutcome.Received -> {
                outcome.records.forEach(::cacheListed)
                val next = outcome.records.lastOrNull()?.key
                if (outcome.more && cached.size < maxCached) loop.after(LOAD_INTERVAL) { load(next) }
            }
        }
    }

    private fun cacheListed(listed: ListedRecord) {
        val id = (Keys.parse(listed.key) as? ParsedKey.Ended)?.job ?: return
        cache(id, listed.value)
        onRead(id)
    }

    companion object {
        private const val INITIAL_CAPACITY = 64
        private const val LOAD_FACTOR = 0.75f
        private const val MAX_QUEUED_JOBS = 500
        private const val MAX_CALLERS_PER_JOB = 8
        private val LOAD_INTERVAL = 1.seconds

        /** The approximate memory of a cached end record and its job id. */
        private const val BYTES_PER_END_RECORD = 200
        private const val HEAP_FRACTION = 16
        const val MIN_CACHED = 10_000

        /** Returns how many end records fit into a sixteenth of a heap of [heapBytes], at least [MIN_CACHED]. */
        fun maxEndRecordsFor(heapBytes: Long): Int =
            (heapBytes / HEAP_FRACTION / BYTES_PER_END_RECORD).coerceIn(MIN_CACHED.toLong(), Int.MAX_VALUE.toLong()).toInt()
    }
}
