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
 * Writes the outcomes of a shard's tasks to the state service.
 *
 * Outcomes of many jobs share a packed record and are batched. The batch delay grows as the write budget runs out, and is longer while
 * the task range has unfinished runs. A worker reports a completed task until its outcome is recorded, so that a new shard owner finds
 * the task.
 */
class OutcomeWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val shard: ShardState,
    failingJobs: FailingJobs,
) {
    private val recordBuilder = OutcomeRecordBuilder(shard, failingJobs)
    private val packer = RecordPacker(
        replica,
        store.limits,
        Keys.outcomeRecords(shard.name),
        { job, rangeIndex -> job.outcomes[ShardTaskRange(rangeIndex, shard.name)] },
        { job, rangeIndex -> job.outcomes[ShardTaskRange(rangeIndex, shard.name)]?.let { RecordCodec.encode(it.value) } },
    )
    private val unresolvedWrites = UnresolvedWrites(loop, store, replica, WritePriority.OUTCOME, ::shardIsOwned)

    /** Task ranges with unrecorded outcomes, and the time of the first of these outcomes. */
    private val dirtySince = LinkedHashMap<TaskRange, MonotonicTime>()

    /** Task ranges with tasks that are returned to the leader, which may assign them to another shard. */
    private val urgentRanges = HashSet<TaskRange>()

    /** A transaction has one condition each for the shard and the packed record, and one for the job of each task range. */
    private val maxRangesPerFlush = store.limits.transactionConditions - FIXED_CONDITIONS

    /** Adds the current state of [run] to the next batch. */
    fun record(run: Run) {
        val range = TaskRange(run.task.job, run.task.index / Keys.TASKS_PER_RANGE)
        dirtySince.putIfAbsent(range, loop.now())
        if (run.state == RunState.GONE) urgentRanges += range
    }

    /** Adds to the next batch that the job of [run] is failing. The leader needs this mark although the task has no outcome. */
    fun recordFailingJob(run: Run) {
        if (replica.jobs[run.task.job]?.failing == false) record(run)
    }

    /** Writes the batches that are due; no effect unless the shard is open. */
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

    /**
     * Returns the encoded records to write, for as many task ranges as one transaction may hold. Ranges without changes are no longer
     * dirty.
     */
    private fun collectChanges(): Map<TaskRange, ByteArray> {
        val changes = LinkedHashMap<TaskRange, ByteArray>()
        for (range in dirtySince.keys.toList()) {
            if (changes.size == maxRangesPerFlush) break
            val job = replica.jobs[range.job]?.takeIf { it.live != null }
            val record = job?.let { recordBuilder.update(it, range.index) }
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
        // A cancellation changes the live record; no task of a cancelled job may be recorded as done.
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
            // The replica reads the conflicting records first; then the outcomes that are still unrecorded are written again.
            is TransactionOutcome.Conflict, TransactionOutcome.NoSuchLease ->
                replica.catchUp { loop.after(CONFLICT_RETRY_DELAY, retry) }
        }
    }

    /** Marks the task ranges of [packedWrite] dirty again, after the write was not carried out or its outcome has been resolved. */
    private fun retry(packedWrite: PackedWrite, writtenSince: Map<TaskRange, MonotonicTime>) {
        packer.clearInFlight(packedWrite)
        writtenSince.forEach { (range, since) -> dirtySince.merge(range, since) { a, b -> minOf(a, b) } }
    }

    private companion object {
        const val FIXED_CONDITIONS = 2

        /** The batch delay of task ranges without unfinished runs, and of ranges with tasks that are returned to the leader. */
        val MIN_BATCH_DELAY = 60.milliseconds

        /** The batch delay of task ranges with unfinished runs. */
        val INCOMPLETE_RANGE_BATCH_DELAY = 350.milliseconds

        /** The additional delay when the write budget is used up; grows linearly from zero with the used share of the budget. */
        val MAX_SCARCITY_DELAY = 1800.milliseconds
        val CONFLICT_RETRY_DELAY = 20.milliseconds
        val REFUSAL_RETRY_DELAY = 300.milliseconds
    }
}
