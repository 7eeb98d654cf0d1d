package copperglade.tasks

import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.PackedWrite
import copperglade.storage.RecordCodec
import copperglade.storage.RecordPacker
import copperglade.storage.Replica
import copperglade.storage.ShardTaskRange
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.UnresolvedWrites
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Records what becomes of a shard's tasks. Outcomes of many jobs share a packed record and are batched: for longer the scarcer the
 * write budget is, and for longest while the task range has runs that have not ended. Until it is recorded that a task is done, its
 * worker keeps reporting it, so that a new owner finds it.
 */
class OutcomeLog(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val shard: ShardState,
    failingJobs: FailingJobs,
) {
    private val records = OutcomeRecordBuilder(shard, failingJobs)
    private val packer = RecordPacker(
        replica,
        store.limits,
        Keys.outcomeRecords(shard.name),
        { job, rangeIndex -> job.outcomes[ShardTaskRange(rangeIndex, shard.name)] },
        { job, rangeIndex -> job.outcomes[ShardTaskRange(rangeIndex, shard.name)]?.let { RecordCodec.encode(it.value) } },
    )
    private val unresolvedWrites = UnresolvedWrites(loop, store, replica, WritePriority.OUTCOME, ::shardIsOwned)

    /** Task ranges with outcomes that are not recorded yet, and since when. */
    private val dirtySince = LinkedHashMap<TaskRange, MonotonicTime>()

    /** Task ranges with tasks that are returned to the leader, which could run them elsewhere. */
    private val urgentRanges = HashSet<TaskRange>()

    /** A transaction's conditions are the shard, the packed record and a job for each task range. */
    private val maxRangesPerFlush = store.limits.transactionConditions - FIXED_CONDITIONS

    /** Has the present state of [run] recorded with the next batch. */
    fun record(run: Run) {
        val range = TaskRange(run.task.job, run.task.index / Keys.TASKS_PER_RANGE)
        dirtySince.putIfAbsent(range, loop.now())
        if (run.state == RunState.GONE) urgentRanges += range
    }

    /** Has it recorded that the job of [run] is failing, which the leader should know although the task has no outcome. */
    fun recordFailingJob(run: Run) {
        if (replica.jobs[run.task.job]?.failing == false) record(run)
    }

    /** Writes what is due; no effect unless the shard is open. */
    fun flush() {
        if (dirtySince.isEmpty() || !shard.isOpen) return
        val now = loop.now()
        val scarcityDelay = MAX_SCARCITY_DELAY * (1.0 - store.writeBudgetLevel())
        if (dirtySince.none { (range, since) -> now >= since + batchDelay(range) + scarcityDelay }) return
        urgentRanges.clear()
        packer.pack(collectChanges()).forEach(::write)
    }

    private fun batchDelay(range: TaskRange): Duration =
        if (range in urgentRanges || !hasUnfinishedRuns(range)) MIN_BATCH_DELAY else INCOMPLETE_RANGE_BATCH_DELAY

    private fun hasUnfinishedRuns(range: TaskRange): Boolean =
        shard.runs.inRange(range).any { it.state != RunState.DONE && it.state != RunState.GONE }

    /** The encoded records to write, for as many task ranges as one transaction may hold; ranges without news are no longer dirty. */
    private fun collectChanges(): Map<TaskRange, ByteArray> {
        val changes = LinkedHashMap<TaskRange, ByteArray>()
        for (range in dirtySince.keys.toList()) {
            if (changes.size == maxRangesPerFlush) break
            val job = replica.jobs[range.job]?.takeIf { it.live != null }
            val record = job?.let { records.update(it, range.index) }
            if (job == null || record == null) {
                dirtySince.remove(range)
            } else if (packer.isReady(job, range.index)) {
                changes[range] = RecordCodec.encode(record)
            }
        }
        return changes
    }

    private fun shardIsOwned() = Condition(Keys.shard(shard.name), Revision(shard.fencingToken.number))

    private fun write(packedWrite: PackedWrite) {
        val conditions = LinkedHashSet<Condition>()
        conditions += shardIsOwned()
        conditions += packedWrite.condition
        // The live record changes with a cancellation, after which nothing may become done any more.
        packedWrite.ranges.mapTo(conditions) { Condition(Keys.live(it.job), replica.jobs.getValue(it.job).liveRevision()) }
        val transaction = Transaction(conditions.toList(), listOf(packedWrite.write))
        packer.markInFlight(packedWrite)
        val writtenSince = packedWrite.ranges.associateWith { dirtySince.remove(it) ?: loop.now() }
        store.commit(WritePriority.OUTCOME, transaction) { outcome -> onCommitted(packedWrite, transaction, writtenSince, outcome) }
    }

    private fun onCommitted(
        packedWrite: PackedWrite,
        transaction: Transaction,
        writtenSince: Map<TaskRange, MonotonicTime>,
        outcome: TransactionOutcome,
    ) {
        val retry = { retry(packedWrite, writtenSince) }
        when (outcome) {
            is TransactionOutcome.Applied -> {
                packer.clearInFlight(packedWrite)
                replica.applyCommitted(transaction, outcome.revision)
            }
            TransactionOutcome.Refused -> loop.after(REFUSAL_RETRY_DELAY, retry)
            TransactionOutcome.Unknown -> unresolvedWrites.resolve(packedWrite, isOwner = { shard.isOpen }, retry)
            // Whatever stood in the way is read first; then what is still news is tried again.
            is TransactionOutcome.Conflict, TransactionOutcome.NoSuchLease ->
                replica.catchUp { loop.after(CONFLICT_RETRY_DELAY, retry) }
        }
    }

    /** Makes the task ranges of [packedWrite], which was not carried out or has been resolved, dirty again. */
    private fun retry(packedWrite: PackedWrite, writtenSince: Map<TaskRange, MonotonicTime>) {
        packer.clearInFlight(packedWrite)
        writtenSince.forEach { (range, since) -> dirtySince.merge(range, since) { a, b -> minOf(a, b) } }
    }

    private companion object {
        const val FIXED_CONDITIONS = 2

        /** How long outcomes are batched at least. */
        val MIN_BATCH_DELAY = 60.milliseconds

        /** How long they are batched while the task range has runs that have not ended. */
        val INCOMPLETE_RANGE_BATCH_DELAY = 350.milliseconds

        /** By how much that grows as the write budget runs out. */
        val MAX_SCARCITY_DELAY = 1800.milliseconds
        val CONFLICT_RETRY_DELAY = 20.milliseconds
        val REFUSAL_RETRY_DELAY = 300.milliseconds
    }
}
