package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.JobId
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The ends of jobs that are over: the latest used of them are remembered, the others are looked up in the state service.
 *
 * @param interval between look-ups where the budget for readings is used up.
 * @param most so many are remembered.
 * @param learned called when an end that was not known before has been read.
 */
class EndedJobs(
    private val loop: EventLoop,
    private val store: StateClient,
    private val interval: Duration,
    private val most: Int,
    private val learned: (JobId) -> Unit,
) {
    private val remembered = object : LinkedHashMap<JobId, EndRecord>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<JobId, EndRecord>?) = size > most
    }
    private val asked = LinkedHashMap<JobId, ArrayList<(ReadOutcome) -> Unit>>()
    private var readingLater = false
    private var loading = false

    operator fun get(id: JobId): EndRecord? = remembered[id]

    fun remember(id: JobId, value: JsonNode) {
        remembered[id] = RecordCodec.decodeEnd(value) ?: return
    }

    /**
     * Reads the end of a job from the service, in order of asking. What is found is remembered even where the asker has
     * given up, so that its next question is answered at once: left to whoever asks in a lucky moment, some of the jobs
     * asked for after a restart would get no answer for minutes. Beyond the queue, the answer is no answer, at once.
     */
    fun read(id: JobId, done: (ReadOutcome) -> Unit) {
        val waiting = asked[id]
        when {
            waiting != null && waiting.size < MAX_ASKERS -> waiting += done
            waiting != null || asked.size >= MAX_ASKED -> done(ReadOutcome.Failed)
            else -> {
                asked[id] = arrayListOf(done)
                readNext()
            }
        }
    }

    private fun readNext() {
        while (asked.isNotEmpty() && store.hasReadBudget()) {
            val (id, waiting) = asked.entries.first()
            // Whoever asks from now on is not served by this reading: it may be older than the question.
            asked.remove(id)
            store.read(Keys.ended(id)) { outcome ->
                if (outcome is ReadOutcome.Present) {
                    remember(id, outcome.value)
                    learned(id)
                }
                waiting.forEach { it(outcome) }
            }
        }
        if (asked.isEmpty() || readingLater) return
        readingLater = true
        loop.after(interval) {
            readingLater = false
            readNext()
        }
    }

    /** Once after the start, reads the ends that users may ask for: as many as are remembered, a page at a time. */
    fun loadOnce() {
        if (loading) return
        loading = true
        loop.after(LOADING_INTERVAL) { load(null) }
    }

    private fun load(from: String?) {
        store.list(Keys.ENDED, from) { listing ->
            listing?.entries?.forEach { entry ->
                val id = (Keys.parse(entry.key) as? ParsedKey.Ended)?.job ?: return@forEach
                remember(id, entry.value)
                learned(id)
            }
            val next = if (listing == null) from else listing.entries.lastOrNull()?.key
            if ((listing == null || listing.more) && remembered.size < most) loop.after(LOADING_INTERVAL) { load(next) }
        }
    }

    companion object {
        private const val INITIAL_CAPACITY = 64
        private const val LOAD_FACTOR = 0.75f
        private const val MAX_ASKED = 500
        private const val MAX_ASKERS = 8
        private val LOADING_INTERVAL = 1.seconds

        /** About what a remembered end takes, with its id and its place among the others. */
        private const val BYTES_AN_END = 200
        private const val PART_OF_HEAP = 16
        private const val MIN = 10_000

        /** A sixteenth of the heap: 36,700 ends in 112 MB. */
        fun maxEndsFor(heapBytes: Long): Int =
            (heapBytes / PART_OF_HEAP / BYTES_AN_END).coerceIn(MIN.toLong(), Int.MAX_VALUE.toLong()).toInt()
    }
}
