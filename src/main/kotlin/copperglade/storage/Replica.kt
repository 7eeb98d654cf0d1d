package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.BlockName
import copperglade.protocol.JobId
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Stamp
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a round of changes touched. */
class Touched {
    val jobs = HashSet<JobId>()
    var standing = false
}

fun interface ReplicaListener {
    fun changed(touched: Touched)
}

enum class ReplicaState { LOADING, CURRENT }

/**
 * A copy of the live records, kept up by one watch. The watch is reopened at a pace, since every opening costs a
 * request; whoever must not answer from the past asks for [fresh] first, and many such questions share one request.
 */
class Replica(private val loop: EventLoop, private val store: StateClient) {
    val jobs = HashMap<JobId, Job>()
    val blocks = HashMap<BlockName, Stamped<BlockRecord>>()
    val members = HashMap<MemberId, Stamped<MemberRecord>>()
    val images = HashMap<BlockName, Stamped<ImageRecord>>()
    var lead: Stamped<LeadRecord>? = null
        private set
    private val over = object : LinkedHashMap<JobId, EndRecord>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<JobId, EndRecord>?) = size > MOST_ENDED
    }

    /** Stamps of keys that are not there: a late event must not bring them back. */
    private val dropped = HashMap<String, Stamp>()
    private val listeners = ArrayList<ReplicaListener>()
    private var waiting = ArrayList<(Boolean) -> Unit>()
    private var pulling = false
    private var lastPull = Moment.NEVER

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
        keepCurrent()
    }

    /** The open watch does not say how old its silence is, so something is asked now and then. */
    private fun keepCurrent() {
        if (loop.now() >= asOf + QUIET && state == ReplicaState.CURRENT && !pulling) fresh {}
        loop.after(QUIET) { keepCurrent() }
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
                announce(touched)
                watch()
                pullIfAsked()
            }
        }
    }

    private fun forget() {
        jobs.clear()
        blocks.clear()
        members.clear()
        images.clear()
        lead = null
        dropped.clear()
    }

    private fun watch() {
        if (state != ReplicaState.CURRENT) return
        store.changes(Keys.ROOT, cursor, WATCH_WAIT) { outcome ->
            take(outcome)
            when (outcome) {
                is ChangesOutcome.Got -> loop.after(WATCH_PACE) { watch() }
                ChangesOutcome.Failed -> loop.after(RETRY) { watch() }
                ChangesOutcome.TooOld -> reload()
            }
        }
    }

    private fun reload() {
        if (state == ReplicaState.LOADING) return
        moveTo(ReplicaState.LOADING, "the service no longer has the changes since $cursor")
        load(null, null)
    }

    /** Calls back once every change made before this call is known; with false where that can't be had now. */
    fun fresh(done: (Boolean) -> Unit) {
        if (state != ReplicaState.CURRENT || waiting.size >= MOST_WAITING) {
            done(false)
            return
        }
        waiting += done
        pullIfAsked()
    }

    private fun pullIfAsked() {
        if (pulling || waiting.isEmpty() || state != ReplicaState.CURRENT) return
        val pause = PULL_PACE.inWholeMilliseconds - (loop.now().ms - lastPull.ms)
        pulling = true
        if (pause > 0) loop.after(pause.milliseconds) { pull() } else pull()
    }

    private fun pull() {
        val sent = loop.now()
        lastPull = sent
        val asked = waiting
        waiting = ArrayList()
        store.changes(Keys.ROOT, cursor, 0.seconds) { outcome ->
            pulling = false
            take(outcome)
            if (outcome is ChangesOutcome.Got) asOf = sent
            asked.forEach { it(outcome is ChangesOutcome.Got && state == ReplicaState.CURRENT) }
            pullIfAsked()
        }
    }

    private fun take(outcome: ChangesOutcome) {
        if (outcome !is ChangesOutcome.Got || state != ReplicaState.CURRENT) return
        val touched = Touched()
        for (change in outcome.changes) {
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

    private fun announce(touched: Touched) {
        if (touched.jobs.isEmpty() && !touched.standing) return
        listeners.forEach { it.changed(touched) }
    }

    private fun put(key: String, value: JsonNode, stamp: Stamp, touched: Touched) {
        if (dropped[key]?.let { it >= stamp } == true) return
        when (val parsed = Keys.parse(key)) {
            null -> return
            is ParsedKey.Live -> {
                val job = job(parsed.job, touched)
                if (stamp > job.liveStamp()) RecordCodec.decodeLive(value)?.let { job.live = Stamped(it, stamp) }
            }
            is ParsedKey.Page -> {
                val job = job(parsed.job, touched)
                if (newer(stamp, job.pages[parsed.page])) {
                    job.pages[parsed.page] =
                        Stamped(RecordCodec.decodePage(value), stamp)
                }
            }
            is ParsedKey.Work -> {
                val job = job(parsed.job, touched)
                if (newer(stamp, job.works[parsed.place])) {
                    val record = RecordCodec.decodeWork(value)
                    job.works[parsed.place] = Stamped(record, stamp)
                    job.rememberDone(record)
                }
            }
            is ParsedKey.Over -> RecordCodec.decodeEnd(value)?.let { over[parsed.job] = it }
            is ParsedKey.Block -> if (newer(stamp, blocks[parsed.name])) {
                touched.standing = true
                RecordCodec.decodeBlock(value)?.let { blocks[parsed.name] = Stamped(it, stamp) }
            }
            is ParsedKey.Member -> if (newer(stamp, members[parsed.id])) {
                touched.standing = true
                RecordCodec.decodeMember(value)?.let { members[parsed.id] = Stamped(it, stamp) }
            }
            is ParsedKey.Images -> if (newer(stamp, images[parsed.block])) {
                images[parsed.block] = Stamped(RecordCodec.decodeImages(value), stamp)
            }
            ParsedKey.Lead -> if (newer(stamp, lead)) {
                touched.standing = true
                RecordCodec.decodeLead(value)?.let { lead = Stamped(it, stamp) }
            }
        }
    }

    private fun drop(key: String, stamp: Stamp, touched: Touched) {
        if (stamp > cursor) dropped[key] = stamp
        when (val parsed = Keys.parse(key)) {
            null, is ParsedKey.Over -> return
            is ParsedKey.Live -> editJob(parsed.job, touched) { if (older(it.live, stamp)) it.live = null }
            is ParsedKey.Page -> editJob(parsed.job, touched) {
                if (older(it.pages[parsed.page], stamp)) it.pages.remove(parsed.page)
            }
            is ParsedKey.Work -> editJob(parsed.job, touched) {
                if (older(it.works[parsed.place], stamp)) it.works.remove(parsed.place)
            }
            is ParsedKey.Block -> if (older(blocks[parsed.name], stamp)) {
                touched.standing = true
                blocks.remove(parsed.name)
            }
            is ParsedKey.Member -> if (older(members[parsed.id], stamp)) {
                touched.standing = true
                members.remove(parsed.id)
            }
            is ParsedKey.Images -> if (older(images[parsed.block], stamp)) images.remove(parsed.block)
            ParsedKey.Lead -> if (older(lead, stamp)) {
                touched.standing = true
                lead = null
            }
        }
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
    fun endOf(id: JobId): EndRecord? = over[id]

    /** Reads the end of a job from the service. */
    fun readEnd(id: JobId, done: (ReadOutcome) -> Unit) = store.read(Keys.over(id)) { outcome ->
        if (outcome is ReadOutcome.Found) RecordCodec.decodeEnd(outcome.value)?.let { over[id] = it }
        done(outcome)
    }

    companion object {
        private const val MOST_ENDED = 10_000
        private const val MOST_WAITING = 2_000
        private val RETRY = 250.milliseconds
        private val WATCH_WAIT = 10.seconds
        private val QUIET = 1500.milliseconds
        private val WATCH_PACE = 50.milliseconds
        private val PULL_PACE = 60.milliseconds
        private val log = LoggerFactory.getLogger("replica")
    }
}
