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

/** Whether a [Replica] holds all records. Controllers may act only on a current replica. */
enum class ReplicaState { LOADING, CURRENT }

/**
 * This controller's copy of the live records, kept current by a watch. Code that must not act on a stale snapshot calls [catchUp] first.
 *
 * @param controllerCount the number of controllers that share the request budget.
 * @param idleRefreshInterval the snapshot age at which the snapshot is refreshed even without a caller of [catchUp].
 * @param maxSnapshotAge the snapshot age at which repeated read failures trigger a reload.
 * @param maxCachedEndRecords the maximum number of cached end records; evicted ones are read from the state service.
 * @param predictRunSeconds returns the predicted run time of a job's tasks in seconds.
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

    /** The dependencies between [jobs], and the state derived from them. */
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

    /** When the latest successful read was sent. The replica holds every change committed before this time. */
    val snapshotTakenAt: MonotonicTime get() = reader.snapshotTakenAt

    /** The replica holds all changes up to this revision. */
    val knownRevision: Revision get() = table.knownRevision

    fun addListener(listener: ReplicaListener) {
        listeners += listener
    }

    /** Starts to load the records, and keeps them current after the load. */
    fun start() {
        load(from = null, startRevision = null)
        reader.start()
        loop.scheduleRepeating({ LOOK_UP_INTERVAL }, ::lookUpDependencies)
    }

    /** Calls back once the replica holds every change committed before this call, or at once if the read can't be queued. */
    fun catchUp(done: (CatchUpOutcome) -> Unit) = reader.catchUp(done)

    /** Applies the writes of this controller's committed [transaction] without waiting for the watch. */
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
     * Applies a cancellation that another controller reports as written at [revision]. The cancelled mark is already durable, so this
     * controller may act on the mark before the watch delivers it. Correctness doesn't depend on this call.
     */
    fun applyRemoteCancellation(id: JobId, revision: Revision) {
        val live = jobs[id]?.live ?: return
        if (state != ReplicaState.CURRENT || live.value.cancelled || revision <= live.revision) return
        val changes = ReplicaChanges()
        table.jobs.getOrCreate(id, changes).live = StoredRecord(live.value.withCancelledMark(), revision)
        notifyListeners(changes)
    }

    /** Returns the end record of a job, or null if the record is not cached. An end record never changes once written. */
    fun endRecordOf(id: JobId): EndRecord? = endRecordCache[id]

    /** Reads the end record of a job from the state service; see [EndRecordCache.read]. */
    fun readEndRecord(id: JobId, done: (ReadOutcome) -> Unit) = endRecordCache.read(id, done)

    /** Only live jobs are loaded, so the end record of a dependency that ended before this process started must be read separately. */
    private fun lookUpDependencies() {
        if (state == ReplicaState.CURRENT) dependencies.unknownDependencies().forEach { readEndRecord(it) {} }
    }

    private fun cacheEndRecord(id: JobId, record: EncodedRecord, changes: ReplicaChanges) {
        endRecordCache.cache(id, record)
        if (dependencies.hasDependents(id)) changes.jobs += id
    }

    /**
     * Lists the records after the key [from], or all records if [from] is null, page by page.
     *
     * @param startRevision the store's revision at the first page, from which later changes must be read.
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
        moveTo(ReplicaState.CURRENT, "${jobs.size} live jobs loaded at revision $startRevision")
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
