package copperglade.scheduling

import copperglade.membership.Leadership
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.storage.Condition
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.PackedWrite
import copperglade.storage.RecordCodec
import copperglade.storage.RecordPacker
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.UnresolvedWrites
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/** Writes the leader's planned assignments to the state service, and tracks the writes whose outcome is not known yet. */
internal class AssignmentWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val capacityTable: CapacityTable,
) {
    /** The encoded record of a task range, and the choices that the record contains. */
    private class FittingRecord(val choices: List<PlacementChoice>, val bytes: ByteArray)

    /** A transaction in flight, and the leadership [term] in which it was sent. */
    private class AssignmentWrite(
        val packedWrite: PackedWrite,
        val transaction: Transaction,
        val choices: Map<TaskRange, List<PlacementChoice>>,
        val tasksByJob: Map<JobId, Int>,
        val term: Revision,
    )

    /**
     * The packers by job kind. Assignments of arrays are rewritten many times while the arrays run, those of services rarely.
     * With separate packed records for each kind, a scheduling round that assigns arrays changes few records.
     */
    private val packers = JobKind.entries.associateWith { kind ->
        RecordPacker(
            replica,
            store.limits,
            Keys.assignmentRecords(kind),
            { job, range -> job.assignmentRanges[range] },
            { job, range -> job.assignmentRanges[range]?.let { RecordCodec.encode(it.value) } },
        )
    }
    private val rangeBuilder = AssignmentRangeBuilder(replica)
    private val unresolvedWrites = UnresolvedWrites(loop, store, replica, WritePriority.ASSIGNMENT) { leadership.fencingCondition }
    private val unresolvedTasks = UnresolvedTasks()

    /** The leadership term that [unresolvedTasks] belong to. */
    private var term = Revision.ABSENT
    private var lastNonUrgentWriteAt = MonotonicTime.NEVER

    /**
     * Discards the in-flight writes of an earlier leadership term. The state service can no longer apply these writes, since
     * each has the revision of its own term as a condition.
     */
    fun beginRound() {
        if (term == leadership.revision) return
        term = leadership.revision
        unresolvedTasks.clear()
        packers.values.forEach { it.clearAllInFlight() }
    }

    fun hasUnresolvedTasks(job: JobId): Boolean = job in unresolvedTasks

    fun unresolvedTasks(job: JobId): Int = unresolvedTasks.of(job)

    /** Returns whether a write of task range [range] would not have to wait for a write in flight; false for a job without a spec. */
    fun isReady(job: Job, range: Int): Boolean = job.spec?.let { packers.getValue(it.kind).isReady(job, range) } ?: false

    /**
     * Writes as much of [plan] as the write budget allows now. A later round plans the rest again: in a queue, assignments of
     * low priority would delay urgent ones behind them.
     */
    fun write(plan: AssignmentPlan) {
        val changes = LinkedHashMap<TaskRange, ByteArray>()
        val choices = HashMap<TaskRange, List<PlacementChoice>>()
        for (range in plan.ranges) {
            val planned = plan.choices[range].orEmpty()
            if (planned.any { it.machine.shard !in replica.shards }) continue
            val fitting = fittingRecord(range, planned, plan.guaranteePreemptions[range]) ?: continue
            changes[range] = fitting.bytes
            choices[range] = fitting.choices
        }
        var affordableWrites = store.affordableAssignments()
        for (packedWrite in pack(changes)) {
            if (!isUrgent(packedWrite) && !admitNonUrgent(affordableWrites)) continue
            affordableWrites--
            commit(packedWrite, packedWrite.ranges.associateWith { choices.getValue(it) })
        }
    }

    private fun isUrgent(packedWrite: PackedWrite) = packedWrite.ranges.any { replica.jobs[it.job]?.spec?.isUrgent ?: false }

    /**
     * Returns whether a write without urgent jobs may be sent. While the write budget is too small for such writes, one is
     * admitted every [MAX_NON_URGENT_DELAY].
     */
    private fun admitNonUrgent(affordableWrites: Int): Boolean {
        if (affordableWrites <= store.urgentReserve && loop.now() < lastNonUrgentWriteAt + MAX_NON_URGENT_DELAY) {
            store.recordUnmetDemand(1)
            return false
        }
        lastNonUrgentWriteAt = loop.now()
        return true
    }

    /**
     * Returns the record of a task range with the [choices], halved until the record fits into a stored value. The other tasks
     * are assigned once some tasks of the range have ended. Returns null where not even the current content fits into a stored
     * value, or where nothing would change.
     */
    private fun fittingRecord(range: TaskRange, choices: List<PlacementChoice>, guaranteePreemptions: BitSet?): FittingRecord? {
        val job = replica.jobs.getValue(range.job)
        val packer = packers.getValue(job.spec?.kind ?: return null)
        var fitting = choices
        while (true) {
            val bytes = RecordCodec.encode(rangeBuilder.build(job, range.index, fitting, guaranteePreemptions))
            if (packer.fitsValue(range, bytes)) return FittingRecord(fitting, bytes)
            if (fitting.isEmpty()) return null
            fitting = fitting.take(fitting.size / 2)
            if (fitting.isEmpty() && guaranteePreemptions == null) return null
        }
    }

    /** Packs the records of services first, since most services are urgent. */
    private fun pack(changes: Map<TaskRange, ByteArray>): List<PackedWrite> = packers.entries
        .sortedBy { it.key != JobKind.SERVICE }
        .flatMap { (kind, packer) -> packer.pack(changes.filterKeys { replica.jobs[it.job]?.spec?.kind == kind }) }

    private fun commit(packedWrite: PackedWrite, choices: Map<TaskRange, List<PlacementChoice>>) {
        val conditions = conditionsOf(packedWrite, choices)
        if (conditions.size > store.limits.transactionConditions) return commitFirstHalf(choices)
        val tasksByJob = HashMap<JobId, Int>()
        choices.forEach { (range, chosen) -> tasksByJob.merge(range.job, chosen.size, Int::plus) }
        val transaction = Transaction(conditions.toList(), listOf(packedWrite.write))
        val write = AssignmentWrite(packedWrite, transaction, choices, tasksByJob, term)
        unresolvedTasks.add(tasksByJob)
        packedWrite.packer.markInFlight(packedWrite)
        store.commit(WritePriority.ASSIGNMENT, transaction) { outcome -> if (isCurrent(write)) onOutcome(write, outcome) }
    }

    /**
     * Returns the conditions of a write: this controller is still the leader, the live record of each job is unchanged, and each
     * shard still has the owner that reported the capacity.
     */
    private fun conditionsOf(packedWrite: PackedWrite, choices: Map<TaskRange, List<PlacementChoice>>): Set<Condition> {
        val conditions = LinkedHashSet<Condition>()
        conditions += leadership.fencingCondition
        conditions += packedWrite.condition
        for ((range, chosen) in choices) {
            conditions += Condition(Keys.live(range.job), replica.jobs.getValue(range.job).liveRevision())
            for (choice in chosen) {
                val shard = choice.machine.shard
                conditions += Condition(Keys.shard(shard), replica.shards.getValue(shard).revision)
            }
        }
        return conditions
    }

    /** Commits the first half of [choices] that need too many conditions for one transaction. A later round plans the rest again. */
    private fun commitFirstHalf(choices: Map<TaskRange, List<PlacementChoice>>) {
        val half = firstHalf(choices)
        if (half.isEmpty()) return log.warn("assignment_needs_too_many_conditions task_ranges={}", choices.keys)
        val changes = half.mapValues { (range, chosen) ->
            RecordCodec.encode(rangeBuilder.build(replica.jobs.getValue(range.job), range.index, chosen, guaranteePreemptions = null))
        }
        pack(changes).forEach { packedWrite -> commit(packedWrite, packedWrite.ranges.associateWith { half.getValue(it) }) }
    }

    /** Returns the first half of the task ranges, or the first half of the tasks where there is one range. */
    private fun firstHalf(choices: Map<TaskRange, List<PlacementChoice>>): Map<TaskRange, List<PlacementChoice>> {
        if (choices.size > 1) return choices.entries.take(choices.size / 2).associate { it.key to it.value }
        return choices.mapValues { (_, chosen) -> chosen.take(chosen.size / 2) }.filterValues { it.isNotEmpty() }
    }

    /** Returns whether [write] was sent in the current leadership term. */
    private fun isCurrent(write: AssignmentWrite) = write.term == term

    private fun onOutcome(write: AssignmentWrite, outcome: TransactionOutcome) = when (outcome) {
        is TransactionOutcome.Applied -> onApplied(write, outcome.revision)
        TransactionOutcome.Refused -> loop.after(RESOLVE_DELAY_AFTER_REFUSAL) { markResolvedIfCurrent(write) }
        // The write was not applied. The replica must read the changed job or shard record before the tasks are planned again.
        is TransactionOutcome.Conflict -> replica.catchUp { markResolvedIfCurrent(write) }
        // The write may still be applied. Its tasks count against the quota until its outcome is known: if other tasks used that
        // part of the quota in the meantime, the team could exceed the quota.
        TransactionOutcome.Unknown, TransactionOutcome.NoSuchLease ->
            unresolvedWrites.resolve(write.packedWrite, isOwner = { isCurrent(write) }) { markResolved(write) }
    }

    private fun onApplied(write: AssignmentWrite, revision: Revision) {
        log.debug("assignments_written tasks_by_job={} revision={}", write.tasksByJob, revision)
        for ((range, chosen) in write.choices) {
            val request = replica.jobs[range.job]?.spec?.request ?: Resources.ZERO
            chosen.forEach { capacityTable.reserve(it.machine, revision, request) }
        }
        replica.applyCommitted(write.transaction, revision)
        markResolved(write)
    }

    private fun markResolvedIfCurrent(write: AssignmentWrite) {
        if (isCurrent(write)) markResolved(write)
    }

    /** Marks [write] as resolved. Its outcome must be known, and the state service must no longer be able to apply any copy of it. */
    private fun markResolved(write: AssignmentWrite) {
        write.packedWrite.packer.clearInFlight(write.packedWrite)
        unresolvedTasks.resolve(write.tasksByJob)
    }

    private companion object {
        /** The longest time for which writes without urgent jobs are delayed in favour of urgent ones. */
        val MAX_NON_URGENT_DELAY = 1500.milliseconds
        val RESOLVE_DELAY_AFTER_REFUSAL = 200.milliseconds
        val log = LoggerFactory.getLogger("scheduling")
    }
}
