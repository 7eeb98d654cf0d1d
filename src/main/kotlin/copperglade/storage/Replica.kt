package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a [Replica] has all records. Only a current one may be acted on. */
enum class ReplicaState { LOADING, CURRENT }

/**
 * This controller's copy of the live records, kept current by a watch. Whoever must not act on an old snapshot calls [catchUp] first.
 *
 * @param controllerCount the number of controllers that share the request budget.
 * @param idleRefreshInterval the age of the snapshot at which it is refreshed though nobody has asked for that.
 * @param maxSnapshotAge the age of the snapshot at which failing reads lead to a reload.
 * @param maxCachedEndRecords how many ends of jobs are remembered; the others are looked up in the state service.
 * @param predictRunSeconds how long a job's tasks are predicted to run, in seconds.
 */
class Replica(
    private val loop: EventLoop,
    private val store: StateClient,
    controllerCount: Int = 1,
    idleRefreshInterval: Duration = IDLE_REFRESH_INTERVAL,
    maxSnapshotAge: Duration = MAX_SNAPSHOT_AGE,
    maxCachedEndRecords: Int = EndRecordCache.MIN_CACHED,
    predictRunSeconds: (JobSpec) -> Double = { it.estimatedSeconds },
) {
    private val table = RecordTable(::cacheEndRecord)
    private val reader = ChangeReader(loop, store, Target(), controllerCount, idleRefreshInterval, maxSnapshotAge)
    private val endRecordCache = EndRecordCache(loop, store, reader.minRequestInterval, maxCachedEndRecords) { id ->
        if (dependencies.hasDependents(id)) notifyListeners(ReplicaChanges().also { it.jobs += id })
    }

    /** Which of [jobs] depend on others, and what follows from that. */
    val dependencies = DependencyGraph(jobs, ::endRecordOf, { knownRevision }, loop::wallMillis, predictRunSeconds)
    private val listeners = ArrayList<ReplicaListener>()

    val jobs: Map<JobId, Job> get() = table.jobs.byId
    val shards: Map<ShardName, StoredRecord<ShardRecord>> get() = table.shards
    val members: Map<MemberId, StoredRecord<MemberRecord>> get() = table.members
    val images: Map<ShardName, StoredRecord<ImageRecord>> get() = table.images
    val leader: StoredRecord<LeaderRecord>? get() = table.leader

    /** The packed records, by key. */
    internal val packedRecords: Map<String, PackedRecord> get() = table.packedRecordsByKey

    var state = ReplicaState.LOADING
        private set

    /** When the latest successful read was sent: every change made before is known. */
    val snapshotTakenAt: MonotonicTime get() = reader.snapshotTakenAt

    /** All changes up to this revision are known. */
    val knownRevision: Revision get() = table.knownRevision

    fun addListener(listener: ReplicaListener) {
        listeners += listener
    }

    /** Starts loading the records and keeps them current from then on. */
    fun start() {
        load(from = null, startRevision = null)
        reader.start()
        loop.scheduleRepeating({ LOOK_UP_INTERVAL }, ::lookUpDependencies)
    }

    /** Calls back once every change made before this call is known, or at once where too many callers wait already. */
    fun catchUp(done: (CatchUpOutcome) -> Unit) = reader.catchUp(done)

    /** Applies what a transaction of this controller has changed, without waiting for the watch. */
    fun applyCommitted(transaction: Transaction, revision: Revision) {
        if (state != ReplicaState.CURRENT) return
        val changes = ReplicaChanges()
        for (write in transaction.writes) {
            when (write) {
                is Write.Set -> EncodedRecord.parse(write.value)?.let { table.put(write.key, it, revision, changes) }
                is Write.Delete -> table.delete(write.key, revision, changes)
            }
        }
        notifyListeners(changes)
    }

    /**
     * Applies a cancellation that another controller says it has written with [revision]. The mark is durable by then, so it may be
     * acted on before the watch delivers it; nothing relies on this call.
     */
    fun applyRemoteCancellation(id: JobId, revision: Revision) {
        val live = jobs[id]?.live ?: return
        if (state != ReplicaState.CURRENT || live.value.cancelled || revision <= live.revision) return
        val changes = ReplicaChanges()
        table.jobs.getOrCreate(id, changes).live = StoredRecord(live.value.withCancelledMark(), revision)
        notifyListeners(changes)
    }

    /** The end of a job, if it is remembered here. An end record never changes once written. */
    fun endRecordOf(id: JobId): EndRecord? = endRecordCache[id]

    /** Looks the end of a job up in the state service; see [EndRecordCache.read]. */
    fun readEndRecord(id: JobId, done: (ReadOutcome) -> Unit) = endRecordCache.read(id, done)

    /** Only live jobs are loaded, so the end of a dependency that ended before this process started has to be looked up. */
    private fun lookUpDependencies() {
        if (state == ReplicaState.CURRENT) dependencies.unknownDependencies().forEach { readEndRecord(it) {} }
    }

    private fun cacheEndRecord(id: JobId, record: EncodedRecord, changes: ReplicaChanges) {
        endRecordCache.cache(id, record)
        if (dependencies.hasDependents(id)) changes.jobs += id
    }

    /**
     * Lists the records from the key [from] on, page by page.
     *
     * @param startRevision the store's revision at the first page: later changes have to be read from there.
     */
    private fun load(from: String?, startRevision: Revision?): Unit = store.list(Keys.CURRENT, from) { outcome ->
        when (outcome) {
            ListOutcome.Failed -> loop.after(RETRY_INTERVAL) { load(from = null, startRevision = null) }
            is ListOutcome.Received -> loadPage(outcome, isFirst = from == null, startRevision ?: outcome.storeRevision)
        }
    }

    private fun loadPage(page: ListOutcome.Received, isFirst: Boolean, startRevision: Revision) {
        if (isFirst) table.clear()
        val changes = ReplicaChanges()
        page.records.forEach { table.put(it.key, it.value, it.revision, changes) }
        if (page.more) load(page.records.last().key, startRevision) else finishLoad(startRevision, changes)
    }

    private fun finishLoad(startRevision: Revision, changes: ReplicaChanges) {
        table.loadedAt(startRevision)
        moveTo(ReplicaState.CURRENT, "${jobs.size} live jobs read at revision $startRevision")
        dependencies.rebuild()
        changes.reloaded = true
        changes.clusterRecordsChanged = true
        notifyListeners(changes)
        reader.watch()
        endRecordCache.loadOnce()
        reader.readIfRequested()
    }

    private fun notifyListeners(changes: ReplicaChanges) {
        if (changes.jobs.isEmpty() && !changes.clusterRecordsChanged && changes.peerStatuses.isEmpty()) return
        changes.jobs += dependencies.update(changes.jobs)
        listeners.forEach { it.changed(changes) }
    }

    private fun moveTo(next: ReplicaState, reason: String) {
        if (state != next) log.info("replica_state_changed from={} to={} reason=\"{}\"", state, next, reason)
        state = next
    }

    private inner class Target : ChangeTarget {
        override val state get() = this@Replica.state
        override val knownRevision get() = table.knownRevision
        override val jobCount get() = jobs.size

        override fun apply(read: ChangesOutcome.Received) {
            if (state != ReplicaState.CURRENT) return
            val changes = ReplicaChanges()
            table.apply(read, changes)
            notifyListeners(changes)
        }

        override fun reload(reason: String) {
            moveTo(ReplicaState.LOADING, reason)
            load(from = null, startRevision = null)
        }
    }

    companion object {
        val IDLE_REFRESH_INTERVAL = 1500.milliseconds
        private val LOOK_UP_INTERVAL = 500.milliseconds
        private val RETRY_INTERVAL = 250.milliseconds
        private val MAX_SNAPSHOT_AGE = 10.seconds
        private val log = LoggerFactory.getLogger("replica")
    }
}
