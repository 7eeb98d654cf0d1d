package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Decoding
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a round of changes touched. */
class ReplicaChanges {
    val jobs = HashSet<JobId>()
    var clusterRecordsChanged = false

    /** Members whose keys were dropped, though they may have been written anew since. */
    val removedMembers = HashSet<MemberId>()

    /** Everything was read anew: what came and went before is not known. */
    var reloaded = false

    /** Peer statuses that came through the state service. */
    val peerStatuses = ArrayList<ByteArray>()
}

fun interface ReplicaListener {
    fun changed(changes: ReplicaChanges)
}

enum class ReplicaState { LOADING, CURRENT }

/**
 * A copy of the live records, kept up by one watch. The watch is reopened at a pace, since every opening costs a
 * request; whoever must not answer from the past asks for [catchUp] first, and many such questions share one request.
 */
class Replica(
    private val loop: EventLoop,
    private val store: StateClient,
    readers: Int = 1,
    /** How old what is known may become before something is asked, though nobody has asked for it. */
    private val idleRefreshInterval: Duration = IDLE_REFRESH_INTERVAL,
    /**
     * So long after the last reading, changes that can't be read (one answer holds all of them, and there is no bound on its size) are no
     * longer asked for: the records are loaded anew, by pages.
     */
    private val maxCatchUp: Duration = MAX_CATCH_UP,
    /** The ends of so many jobs are remembered; beyond them, the state service is asked. */
    maxEndedJobs: Int = EndedJobs.maxEndsFor(Runtime.getRuntime().maxMemory()),
    /** How long a job's tasks are predicted to run, in seconds. */
    predictRunS: (JobSpec) -> Double = { it.estimatedSeconds },
) {
    /** All readers together take at most half of the service's requests. */
    private val interval = maxOf(MIN_INTERVAL, (readers / (store.limits.requestsPerS * READING_SHARE)).seconds)
    val jobs = HashMap<JobId, Job>()
    val shards = HashMap<ShardName, StoredRecord<ShardRecord>>()
    val members = HashMap<MemberId, StoredRecord<MemberRecord>>()
    val images = HashMap<ShardName, StoredRecord<ImageRecord>>()
    var leader: StoredRecord<LeaderRecord>? = null
        private set
    private val endedJobs = EndedJobs(loop, store, interval, maxEndedJobs) { id ->
        if (dependencies.isAwaited(id)) announce(ReplicaChanges().also { it.jobs += id })
    }

    /** Which of [jobs] wait for others, and what follows from that. */
    val dependencies = DependencyGraph(jobs, ::endOf, { knownRevision }, loop::wallMillis, predictRunS)

    /** Stamps of keys that are not there: a late event must not bring them back. */
    private val dropped = HashMap<String, Revision>()
    private val listeners = ArrayList<ReplicaListener>()
    private val packedRecordTable = PackedRecordTable()
    private var waiters = ArrayList<(CatchUpOutcome) -> Unit>()
    private var readInFlight = false
    private var watching = false
    private var lastReading = MonotonicTime.NEVER
    private var applyDuration = Duration.ZERO

    /** Readings that failed one after the other. */
    private var failedReadings = 0

    /** The packed records, by key. */
    val packedRecords: Map<String, PackedRecord> get() = packedRecordTable.byKey

    var state = ReplicaState.LOADING
        private set

    /** When the last reading was asked for: everything that had been changed by then is known. */
    var readTime = MonotonicTime.NEVER
        private set

    /** All changes up to this revision are known. */
    var knownRevision = Revision.ABSENT
        private set

    fun addListener(listener: ReplicaListener) {
        listeners += listener
    }

    fun start() {
        load(null, null)
        loop.again({ idleRefreshInterval }, ::keepCurrent)
        loop.again({ LOOK_UP_INTERVAL }, ::lookUpDependencies)
    }

    /** Only live jobs are kept here, so a dependency that ended before this process began has to be looked up. */
    private fun lookUpDependencies() {
        if (state == ReplicaState.CURRENT) dependencies.unknownDependencies().forEach { readEnd(it) {} }
    }

    /** The open watch does not say how old its silence is, so something is asked now and then. */
    private fun keepCurrent() {
        if (loop.now() >= readTime + idleRefreshInterval && state == ReplicaState.CURRENT && !readInFlight) catchUp {}
    }

    private fun moveTo(next: ReplicaState, why: String) {
        if (state != next) log.info("replica {} -> {}: {}", state, next, why)
        state = next
    }

    private fun load(from: String?, since: Revision?) {
        store.list(Keys.CURRENT, from) { listing ->
            if (listing == null) {
                loop.after(RETRY) { load(null, null) }
                return@list
            }
            if (from == null) forget()
            val changes = ReplicaChanges()
            listing.entries.forEach { put(it.key, it.value, it.revision, changes) }
            val start = since ?: listing.storeRevision
            if (listing.more) {
                load(listing.entries.last().key, start)
            } else {
                knownRevision = start
                moveTo(ReplicaState.CURRENT, "${jobs.size} live jobs read at revision $start")
                dependencies.rebuild()
                changes.reloaded = true
                changes.clusterRecordsChanged = true
                announce(changes)
                watch()
                endedJobs.loadOnce()
                readIfRequested()
            }
        }
    }

    private fun forget() {
        jobs.clear()
        shards.clear()
        members.clear()
        images.clear()
        packedRecordTable.clear()
        leader = null
        dropped.clear()
    }

    /**
     * Reopens the watch. Whoever has asked for a fresh reading meanwhile is served by the same request, which then
     * doesn't wait: while changes come all the time, watch and readings would take twice the requests.
     */
    private fun watch() {
        if (state != ReplicaState.CURRENT) return
        watching = true
        val asked = if (readInFlight) emptyList() else takeWaiters()
        read(asked, if (asked.isEmpty()) WATCH_WAIT else 0.seconds) { outcome ->
            watching = false
            when (outcome) {
                is ChangesOutcome.Received -> loop.after(pause()) { watch() }
                ChangesOutcome.Failed -> if (cannotCatchUp()) {
                    reload(
                        "changes since $knownRevision can't be read",
                    )
                } else {
                    loop.after(RETRY) { watch() }
                }
                ChangesOutcome.TooOld -> reload("the service no longer has the changes since $knownRevision")
            }
        }
    }

    private fun takeWaiters(): List<(CatchUpOutcome) -> Unit> = waiters.also { waiters = ArrayList() }

    private fun read(asked: List<(CatchUpOutcome) -> Unit>, wait: Duration, after: (ChangesOutcome) -> Unit) {
        val sent = loop.now()
        lastReading = sent
        store.changes(Keys.ROOT, knownRevision, wait) { outcome ->
            val began = loop.now()
            failedReadings = if (outcome is ChangesOutcome.Received) 0 else failedReadings + 1
            logReading(outcome, sent)
            take(outcome)
            applyDuration = (loop.now().ms - began.ms).milliseconds
            // What comes amid a new loading is not taken in, so it must not make what is known look newer than it is.
            if (outcome is ChangesOutcome.Received && sent > readTime && state == ReplicaState.CURRENT) readTime = sent
            after(outcome)
            val caughtUp = outcome is ChangesOutcome.Received && state == ReplicaState.CURRENT
            asked.forEach { it(if (caughtUp) CatchUpOutcome.Current else CatchUpOutcome.Unavailable) }
        }
    }

    private fun logReading(outcome: ChangesOutcome, sent: MonotonicTime) {
        if (!log.isDebugEnabled) return
        val received = outcome as? ChangesOutcome.Received
        log.debug(
            "reading from={} to={} changes={} took_ms={} knowledge_ms={} state={}",
            knownRevision,
            received?.storeRevision,
            received?.changes?.size,
            loop.now().ms - sent.ms,
            loop.now().ms - readTime.ms,
            state,
        )
    }

    /** Whether readings fail though the service answers other requests, for so long that nothing may be done on what is known. */
    private fun cannotCatchUp() =
        failedReadings >= MAX_FAILED_READINGS && loop.now() >= readTime + maxCatchUp && !store.isUnreachable()

    private fun reload(why: String) {
        if (state == ReplicaState.LOADING) return
        failedReadings = 0
        moveTo(ReplicaState.LOADING, why)
        load(null, null)
    }

    /** Calls back once every change made before this call is known, or at once where too many callers wait already. */
    fun catchUp(done: (CatchUpOutcome) -> Unit) {
        if (state != ReplicaState.CURRENT || waiters.size >= maxOf(MAX_WAITERS, jobs.size * QUESTIONS_PER_JOB)) {
            done(CatchUpOutcome.Unavailable)
            return
        }
        waiters += done
        readIfRequested()
    }

    /** Asks beside the open watch; where the watch is about to be reopened, that will do. */
    private fun readIfRequested() {
        if (readInFlight || !watching || waiters.isEmpty() || state != ReplicaState.CURRENT) return
        readInFlight = true
        val left = pause().inWholeMilliseconds - (loop.now().ms - lastReading.ms)
        if (left > 0) loop.after(left.milliseconds) { readNow() } else readNow()
    }

    /** The longer it took to take the latest changes in, the longer the next ones are gathered. */
    private fun pause(): Duration = maxOf(interval, minOf(applyDuration * REST, MAX_PAUSE))

    private fun readNow() = read(takeWaiters(), 0.seconds) {
        readInFlight = false
        readIfRequested()
    }

    private fun take(outcome: ChangesOutcome) {
        if (outcome !is ChangesOutcome.Received || state != ReplicaState.CURRENT) return
        val changes = ReplicaChanges()
        for (change in outcome.changes) {
            // Known already: an answer that comes after a new loading must not bring back what has been dropped since.
            if (change.revision <= knownRevision) continue
            when (change) {
                is Change.Set -> put(change.key, change.value, change.revision, changes)
                is Change.Deleted -> drop(change.key, change.revision, changes)
            }
        }
        if (outcome.storeRevision > knownRevision) knownRevision = outcome.storeRevision
        dropped.values.removeIf { it <= knownRevision }
        announce(changes)
    }

    /** Takes over what a transaction of our own has changed, without waiting for the watch. */
    fun applyCommitted(transaction: Transaction, revision: Revision) {
        if (state != ReplicaState.CURRENT) return
        val changes = ReplicaChanges()
        for (write in transaction.writes) {
            when (write) {
                is Write.Set -> Json.read(write.value)?.let { put(write.key, it, revision, changes) }
                is Write.Delete -> drop(write.key, revision, changes)
            }
        }
        announce(changes)
    }

    /**
     * Another controller says that it has written the cancelled mark of [id] with [revision]. The mark is durable, so it may be
     * acted on before the watch brings it; nothing relies on being told.
     */
    fun applyRemoteCancellation(id: JobId, revision: Revision) {
        val live = jobs[id]?.live ?: return
        if (state != ReplicaState.CURRENT || live.value.cancelled || revision <= live.revision) return
        val changes = ReplicaChanges()
        job(id, changes).live = StoredRecord(live.value.withCancelledMark(), revision)
        announce(changes)
    }

    private fun announce(changes: ReplicaChanges) {
        if (changes.jobs.isEmpty() && !changes.clusterRecordsChanged && changes.peerStatuses.isEmpty()) return
        changes.jobs += dependencies.update(changes.jobs)
        listeners.forEach { it.changed(changes) }
    }

    private fun put(key: String, value: JsonNode, revision: Revision, changes: ReplicaChanges) {
        if (dropped[key]?.let { it >= revision } == true) return
        when (val parsed = decoded { Keys.parse(key) }) {
            null -> return
            is ParsedKey.Live -> {
                val job = job(parsed.job, changes)
                if (revision > job.liveRevision()) decoded { RecordCodec.decodeLive(value) }?.let { job.live = StoredRecord(it, revision) }
            }
            ParsedKey.Assignments -> packedRecordTable.put(key, value, revision, AssignmentEntries, ChangedJobs(changes))
            is ParsedKey.Outcomes -> packedRecordTable.put(key, value, revision, OutcomeEntries(parsed.shard), ChangedJobs(changes))
            is ParsedKey.Ended -> rememberEnd(parsed.job, value, changes)
            is ParsedKey.Shard -> if (newer(revision, shards[parsed.name])) {
                changes.clusterRecordsChanged = true
                decoded { RecordCodec.decodeShard(value) }?.let { shards[parsed.name] = StoredRecord(it, revision) }
            }
            is ParsedKey.Member -> if (newer(revision, members[parsed.id])) {
                changes.clusterRecordsChanged = true
                decoded { RecordCodec.decodeMember(value) }?.let { members[parsed.id] = StoredRecord(it, revision) }
            }
            is ParsedKey.Images -> if (newer(revision, images[parsed.shard])) {
                decoded { RecordCodec.decodeImages(value) }?.let { images[parsed.shard] = StoredRecord(it, revision) }
            }
            is ParsedKey.MemberCapacity -> decoded { RecordCodec.decodePeerStatus(value) }?.let { changes.peerStatuses += it }
            ParsedKey.Leader -> if (newer(revision, leader)) {
                changes.clusterRecordsChanged = true
                decoded { RecordCodec.decodeLeader(value) }?.let { leader = StoredRecord(it, revision) }
            }
        }
    }

    /** What a record says, or null where it is malformed: then it counts as not written. */
    private fun <T : Any> decoded(decode: () -> T?): T? = Decoding.orNull("record", decode)

    private fun rememberEnd(id: JobId, value: JsonNode, changes: ReplicaChanges) {
        endedJobs.remember(id, value)
        if (dependencies.isAwaited(id)) changes.jobs += id
    }

    private fun drop(key: String, revision: Revision, changes: ReplicaChanges) {
        if (revision > knownRevision) dropped[key] = revision
        when (val parsed = decoded { Keys.parse(key) }) {
            null, is ParsedKey.Ended, is ParsedKey.MemberCapacity -> return
            is ParsedKey.Live -> editJob(parsed.job, changes) { if (older(it.live, revision)) it.live = null }
            ParsedKey.Assignments -> packedRecordTable.drop(key, revision, AssignmentEntries, ChangedJobs(changes))
            is ParsedKey.Outcomes -> packedRecordTable.drop(key, revision, OutcomeEntries(parsed.shard), ChangedJobs(changes))
            is ParsedKey.Shard -> if (older(shards[parsed.name], revision)) {
                changes.clusterRecordsChanged = true
                shards.remove(parsed.name)
            }
            is ParsedKey.Member -> if (older(members[parsed.id], revision)) {
                changes.clusterRecordsChanged = true
                changes.removedMembers += parsed.id
                members.remove(parsed.id)
            }
            is ParsedKey.Images -> if (older(images[parsed.shard], revision)) images.remove(parsed.shard)
            ParsedKey.Leader -> if (older(leader, revision)) {
                changes.clusterRecordsChanged = true
                leader = null
            }
        }
    }

    /** The jobs, for those who change them in a round of changes. */
    private inner class ChangedJobs(private val changes: ReplicaChanges) : JobRecords {
        override fun present(id: JobId) = jobs[id]

        override fun touch(id: JobId) = job(id, changes)

        override fun edit(id: JobId, change: (Job) -> Unit) = editJob(id, changes, change)
    }

    private fun job(id: JobId, changes: ReplicaChanges): Job {
        changes.jobs += id
        return jobs.getOrPut(id) { Job(id) }
    }

    private inline fun editJob(id: JobId, changes: ReplicaChanges, edit: (Job) -> Unit) {
        val job = jobs[id] ?: return
        changes.jobs += id
        edit(job)
        if (job.empty) jobs.remove(id)
    }

    private fun newer(revision: Revision, present: StoredRecord<*>?) = present == null || revision > present.revision

    private fun older(present: StoredRecord<*>?, revision: Revision) = present != null && present.revision < revision

    /** The end of a job, as far as it is remembered here. It never changes once written. */
    fun endOf(id: JobId): EndRecord? = endedJobs[id]

    /** Looks the end of a job up in the state service; see [EndedJobs.read]. */
    fun readEnd(id: JobId, done: (ReadOutcome) -> Unit) = endedJobs.read(id, done)

    companion object {
        /** So many questions may wait for a reading, or two for each live job where that is more. */
        private const val MAX_WAITERS = 2_000
        private const val QUESTIONS_PER_JOB = 2
        private val LOOK_UP_INTERVAL = 500.milliseconds
        private val RETRY = 250.milliseconds
        private val WATCH_WAIT = 10.seconds
        val IDLE_REFRESH_INTERVAL = 1500.milliseconds
        private val MAX_CATCH_UP = 10.seconds
        private const val MAX_FAILED_READINGS = 3
        private const val READING_SHARE = 0.5
        private const val REST = 8
        private val MAX_PAUSE = 200.milliseconds
        private val MIN_INTERVAL = 50.milliseconds
        private val log = LoggerFactory.getLogger("replica")
    }
}
