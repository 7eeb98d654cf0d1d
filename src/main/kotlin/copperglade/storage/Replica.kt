package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.ShardName
import copperglade.protocol.Decoding
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Stamp
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.slf4j.LoggerFactory

/** What a round of changes touched. */
class Touched {
    val jobs = HashSet<JobId>()
    var standing = false

    /** Members whose keys were dropped, though they may have been written anew since. */
    val membersGone = HashSet<MemberId>()

    /** Everything was read anew: what came and went before is not known. */
    var reloaded = false

    /** Peer statuses that came through the state service. */
    val peerStatuses = ArrayList<ByteArray>()
}

fun interface ReplicaListener {
    fun changed(touched: Touched)
}

enum class ReplicaState { LOADING, CURRENT }

/**
 * A copy of the live records, kept up by one watch. The watch is reopened at a pace, since every opening costs a
 * request; whoever must not answer from the past asks for [fresh] first, and many such questions share one request.
 */
class Replica(
    private val loop: EventLoop,
    private val store: StateClient,
    readers: Int = 1,
    /** How old what is known may become before something is asked, though nobody has asked for it. */
    private val quiet: Duration = QUIET,
    /**
     * So long after the last reading, changes that can't be read (one answer holds all of them, and there is no bound on its size) are no
     * longer asked for: the records are loaded anew, by pages.
     */
    private val longestCatchUp: Duration = LONGEST_CATCH_UP,
    /** The ends of so many jobs are remembered; beyond them, the state service is asked. */
    mostEnded: Int = EndedJobs.endsThatFitInto(Runtime.getRuntime().maxMemory()),
    /** How long a job's tasks are predicted to run, in seconds. */
    predictRunS: (JobSpec) -> Double = { it.estimateS },
) {
    /** All readers together take at most half of the service's requests. */
    private val pace = maxOf(SHORTEST_PACE, (readers / (store.limits.requestsPerS * READING_SHARE)).seconds)
    val jobs = HashMap<JobId, Job>()
    val shards = HashMap<ShardName, Stamped<ShardRecord>>()
    val members = HashMap<MemberId, Stamped<MemberRecord>>()
    val images = HashMap<ShardName, Stamped<ImageRecord>>()
    var leader: Stamped<LeaderRecord>? = null
        private set
    private val endedJobs = EndedJobs(loop, store, pace, mostEnded) { id ->
        if (dependencies.isAwaited(id)) announce(Touched().also { it.jobs += id })
    }

    /** Which of [jobs] wait for others, and what follows from that. */
    val dependencies = DependencyGraph(jobs, ::endOf, { cursor }, loop::wallMillis, predictRunS)

    /** Stamps of keys that are not there: a late event must not bring them back. */
    private val dropped = HashMap<String, Stamp>()
    private val listeners = ArrayList<ReplicaListener>()
    private val packedRecordTable = PackedRecordTable()
    private var waiting = ArrayList<(Boolean) -> Unit>()
    private var pulling = false
    private var watching = false
    private var lastReading = Moment.NEVER
    private var takingTook = Duration.ZERO

    /** Readings that failed one after the other. */
    private var failedReadings = 0

    /** The packed records, by key. */
    val packedRecords: Map<String, PackedRecord> get() = packedRecordTable.byKey

    var state = ReplicaState.LOADING
        private set

    /** When the last reading was asked for: everything that had been changed by then is known. */
    var asOf = Moment.NEVER
        private set

    /** All changes up to this revision are known. */
    var cursor = Stamp.ABSENT
        private set

    fun listen(listener: ReplicaListener) {
        listeners += listener
    }

    fun start() {
        load(null, null)
        loop.again({ quiet }, ::keepCurrent)
        loop.again({ LOOK_UP_PACE }, ::lookUpDependencies)
    }

    /** Only live jobs are kept here, so a dependency that ended before this process began has to be looked up. */
    private fun lookUpDependencies() {
        if (state == ReplicaState.CURRENT) dependencies.unknownDependencies().forEach { readEnd(it) {} }
    }

    /** The open watch does not say how old its silence is, so something is asked now and then. */
    private fun keepCurrent() {
        if (loop.now() >= asOf + quiet && state == ReplicaState.CURRENT && !pulling) fresh {}
    }

    private fun moveTo(next: ReplicaState, why: String) {
        if (state != next) log.info("replica {} -> {}: {}", state, next, why)
        state = next
    }

    private fun load(from: String?, since: Stamp?) {
        store.list(Keys.NOW, from) { listing ->
            if (listing == null) {
                loop.after(RETRY) { load(null, null) }
                return@list
            }
            if (from == null) forget()
            val touched = Touched()
            listing.entries.forEach { put(it.key, it.value, it.stamp, touched) }
            val start = since ?: listing.ledger
            if (listing.more) {
                load(listing.entries.last().key, start)
            } else {
                cursor = start
                moveTo(ReplicaState.CURRENT, "${jobs.size} live jobs read at revision $start")
                dependencies.rebuild()
                touched.reloaded = true
                touched.standing = true
                announce(touched)
                watch()
                endedJobs.loadOnce()
                pullIfAsked()
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
        val asked = if (pulling) emptyList() else takeWaiting()
        read(asked, if (asked.isEmpty()) WATCH_WAIT else 0.seconds) { outcome ->
            watching = false
            when (outcome) {
                is ChangesOutcome.Received -> loop.after(pause()) { watch() }
                ChangesOutcome.Failed -> if (cannotCatchUp()) {
                    reload(
                        "changes since $cursor can't be read",
                    )
                } else {
                    loop.after(RETRY) { watch() }
                }
                ChangesOutcome.TooOld -> reload("the service no longer has the changes since $cursor")
            }
        }
    }

    private fun takeWaiting(): List<(Boolean) -> Unit> = waiting.also { waiting = ArrayList() }

    private fun read(asked: List<(Boolean) -> Unit>, wait: Duration, after: (ChangesOutcome) -> Unit) {
        val sent = loop.now()
        lastReading = sent
        store.changes(Keys.ROOT, cursor, wait) { outcome ->
            val began = loop.now()
            failedReadings = if (outcome is ChangesOutcome.Received) 0 else failedReadings + 1
            logReading(outcome, sent)
            take(outcome)
            takingTook = (loop.now().ms - began.ms).milliseconds
            // What comes amid a new loading is not taken in, so it must not make what is known look newer than it is.
            if (outcome is ChangesOutcome.Received && sent > asOf && state == ReplicaState.CURRENT) asOf = sent
            after(outcome)
            asked.forEach { it(outcome is ChangesOutcome.Received && state == ReplicaState.CURRENT) }
        }
    }

    private fun logReading(outcome: ChangesOutcome, sent: Moment) {
        if (!log.isDebugEnabled) return
        val received = outcome as? ChangesOutcome.Received
        log.debug(
            "reading from={} to={} changes={} took_ms={} knowledge_ms={} state={}",
            cursor,
            received?.ledger,
            received?.changes?.size,
            loop.now().ms - sent.ms,
            loop.now().ms - asOf.ms,
            state,
        )
    }

    /** Whether readings fail though the service answers other requests, for so long that nothing may be done on what is known. */
    private fun cannotCatchUp() =
        failedReadings >= MOST_FAILED_READINGS && loop.now() >= asOf + longestCatchUp && !store.isSilent()

    private fun reload(why: String) {
        if (state == ReplicaState.LOADING) return
        failedReadings = 0
        moveTo(ReplicaState.LOADING, why)
        load(null, null)
    }

    /** Calls back once every change made before this call is known; with false where that can't be had now. */
    fun fresh(done: (Boolean) -> Unit) {
        if (state != ReplicaState.CURRENT || waiting.size >= maxOf(MOST_WAITING, jobs.size * QUESTIONS_A_JOB)) {
            done(false)
            return
        }
        waiting += done
        pullIfAsked()
    }

    /** Asks beside the open watch; where the watch is about to be reopened, that will do. */
    private fun pullIfAsked() {
        if (pulling || !watching || waiting.isEmpty() || state != ReplicaState.CURRENT) return
        pulling = true
        val left = pause().inWholeMilliseconds - (loop.now().ms - lastReading.ms)
        if (left > 0) loop.after(left.milliseconds) { pull() } else pull()
    }

    /** The longer it took to take the latest changes in, the longer the next ones are gathered. */
    private fun pause(): Duration = maxOf(pace, minOf(takingTook * REST, LONGEST_PAUSE))

    private fun pull() = read(takeWaiting(), 0.seconds) {
        pulling = false
        pullIfAsked()
    }

    private fun take(outcome: ChangesOutcome) {
        if (outcome !is ChangesOutcome.Received || state != ReplicaState.CURRENT) return
        val touched = Touched()
        for (change in outcome.changes) {
            // Known already: an answer that comes after a new loading must not bring back what has been dropped since.
            if (change.stamp <= cursor) continue
            when (change) {
                is Change.Set -> put(change.key, change.value, change.stamp, touched)
                is Change.Dropped -> drop(change.key, change.stamp, touched)
            }
        }
        if (outcome.ledger > cursor) cursor = outcome.ledger
        dropped.values.removeIf { it <= cursor }
        announce(touched)
    }

    /** Takes over what a transaction of our own has changed, without waiting for the watch. */
    fun applied(transaction: Transaction, stamp: Stamp) {
        if (state != ReplicaState.CURRENT) return
        val touched = Touched()
        for (write in transaction.writes) {
            when (write) {
                is Write.Set -> Json.read(write.value)?.let { put(write.key, it, stamp, touched) }
                is Write.Drop -> drop(write.key, stamp, touched)
            }
        }
        announce(touched)
    }

    /**
     * Another controller says that it has written the cancelled mark of [id] with [stamp]. The mark is durable, so it may be
     * acted on before the watch brings it; nothing relies on being told.
     */
    fun cancelledElsewhere(id: JobId, stamp: Stamp) {
        val live = jobs[id]?.live ?: return
        if (state != ReplicaState.CURRENT || live.value.cancelled || stamp <= live.stamp) return
        val touched = Touched()
        job(id, touched).live = Stamped(live.value.withCancelledMark(), stamp)
        announce(touched)
    }

    private fun announce(touched: Touched) {
        if (touched.jobs.isEmpty() && !touched.standing && touched.peerStatuses.isEmpty()) return
        touched.jobs += dependencies.update(touched.jobs)
        listeners.forEach { it.changed(touched) }
    }

    private fun put(key: String, value: JsonNode, stamp: Stamp, touched: Touched) {
        if (dropped[key]?.let { it >= stamp } == true) return
        when (val parsed = decoded { Keys.parse(key) }) {
            null -> return
            is ParsedKey.Live -> {
                val job = job(parsed.job, touched)
                if (stamp > job.liveStamp()) decoded { RecordCodec.decodeLive(value) }?.let { job.live = Stamped(it, stamp) }
            }
            ParsedKey.Assignments -> packedRecordTable.put(key, value, stamp, AssignmentParts, TouchedJobs(touched))
            is ParsedKey.Outcomes -> packedRecordTable.put(key, value, stamp, OutcomeParts(parsed.shard), TouchedJobs(touched))
            is ParsedKey.Over -> rememberEnd(parsed.job, value, touched)
            is ParsedKey.Shard -> if (newer(stamp, shards[parsed.name])) {
                touched.standing = true
                decoded { RecordCodec.decodeShard(value) }?.let { shards[parsed.name] = Stamped(it, stamp) }
            }
            is ParsedKey.Member -> if (newer(stamp, members[parsed.id])) {
                touched.standing = true
                decoded { RecordCodec.decodeMember(value) }?.let { members[parsed.id] = Stamped(it, stamp) }
            }
            is ParsedKey.Images -> if (newer(stamp, images[parsed.shard])) {
                decoded { RecordCodec.decodeImages(value) }?.let { images[parsed.shard] = Stamped(it, stamp) }
            }
            is ParsedKey.Room -> decoded { RecordCodec.decodePeerStatus(value) }?.let { touched.peerStatuses += it }
            ParsedKey.Leader -> if (newer(stamp, leader)) {
                touched.standing = true
                decoded { RecordCodec.decodeLeader(value) }?.let { leader = Stamped(it, stamp) }
            }
        }
    }

    /** What a record says, or null where it is malformed: then it counts as not written. */
    private fun <T : Any> decoded(decode: () -> T?): T? = Decoding.orNull("record", decode)

    private fun rememberEnd(id: JobId, value: JsonNode, touched: Touched) {
        endedJobs.remember(id, value)
        if (dependencies.isAwaited(id)) touched.jobs += id
    }

    private fun drop(key: String, stamp: Stamp, touched: Touched) {
        if (stamp > cursor) dropped[key] = stamp
        when (val parsed = decoded { Keys.parse(key) }) {
            null, is ParsedKey.Over, is ParsedKey.Room -> return
            is ParsedKey.Live -> editJob(parsed.job, touched) { if (older(it.live, stamp)) it.live = null }
            ParsedKey.Assignments -> packedRecordTable.drop(key, stamp, AssignmentParts, TouchedJobs(touched))
            is ParsedKey.Outcomes -> packedRecordTable.drop(key, stamp, OutcomeParts(parsed.shard), TouchedJobs(touched))
            is ParsedKey.Shard -> if (older(shards[parsed.name], stamp)) {
                touched.standing = true
                shards.remove(parsed.name)
            }
            is ParsedKey.Member -> if (older(members[parsed.id], stamp)) {
                touched.standing = true
                touched.membersGone += parsed.id
                members.remove(parsed.id)
            }
            is ParsedKey.Images -> if (older(images[parsed.shard], stamp)) images.remove(parsed.shard)
            ParsedKey.Leader -> if (older(leader, stamp)) {
                touched.standing = true
                leader = null
            }
        }
    }

    /** The jobs, for those who change them in a round of changes. */
    private inner class TouchedJobs(private val touched: Touched) : JobRecords {
        override fun present(id: JobId) = jobs[id]

        override fun touch(id: JobId) = job(id, touched)

        override fun edit(id: JobId, change: (Job) -> Unit) = editJob(id, touched, change)
    }

    private fun job(id: JobId, touched: Touched): Job {
        touched.jobs += id
        return jobs.getOrPut(id) { Job(id) }
    }

    private inline fun editJob(id: JobId, touched: Touched, edit: (Job) -> Unit) {
        val job = jobs[id] ?: return
        touched.jobs += id
        edit(job)
        if (job.empty) jobs.remove(id)
    }

    private fun newer(stamp: Stamp, present: Stamped<*>?) = present == null || stamp > present.stamp

    private fun older(present: Stamped<*>?, stamp: Stamp) = present != null && present.stamp < stamp

    /** The end of a job, as far as it is remembered here. It never changes once written. */
    fun endOf(id: JobId): EndRecord? = endedJobs[id]

    /** Looks the end of a job up in the state service; see [EndedJobs.read]. */
    fun readEnd(id: JobId, done: (ReadOutcome) -> Unit) = endedJobs.read(id, done)

    companion object {
        /** So many questions may wait for a reading, or two for each live job where that is more. */
        private const val MOST_WAITING = 2_000
        private const val QUESTIONS_A_JOB = 2
        private val LOOK_UP_PACE = 500.milliseconds
        private val RETRY = 250.milliseconds
        private val WATCH_WAIT = 10.seconds
        val QUIET = 1500.milliseconds
        private val LONGEST_CATCH_UP = 10.seconds
        private const val MOST_FAILED_READINGS = 3
        private const val READING_SHARE = 0.5
        private const val REST = 8
        private val LONGEST_PAUSE = 200.milliseconds
        private val SHORTEST_PACE = 50.milliseconds
        private val log = LoggerFactory.getLogger("replica")
    }
}
