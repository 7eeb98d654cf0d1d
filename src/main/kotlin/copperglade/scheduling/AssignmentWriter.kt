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

/** Writes the assignments that the leader plans, and tracks those whose outcome is not known yet. */
internal class AssignmentWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val capacityTable: CapacityTable,
) {
    /** The encoded record of a task range, and those of its choices that fit into it. */
    private class FittingRecord(val choices: List<PlacementChoice>, val bytes: ByteArray)

    /** A transaction in flight, and the leadership [term] in which it was sent. */
    private class AssignmentWrite(
        val packedWrite: PackedWrite,
        val transaction: Transaction,
        val choices: Map<TaskRange, List<PlacementChoice>>,
        val tasksByJob: Map<JobId, Int>,
        val term: Revision,
    )

    /** Arrays are rewritten many times while they run, services rarely; in packed records of their own, a round of arrays changes few of them. */
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
    private var nonUrgentWrittenAt = MonotonicTime.NEVER

    /**
     * Drops what is left of an earlier leadership term. Its writes can't be applied any more, since that term's revision is a
     * condition of each.
     */
    fun beginRound() {
        if (term == leadership.revision) return
        term = leadership.revision
        unresolvedTasks.clear()
        packers.values.forEach { it.clearAllInFlight() }
    }

    fun hasUnresolvedTasks(job: JobId): Boolean = job in unresolvedTasks

    fun unresolvedTasks(job: JobId): Int = unresolvedTasks.of(job)

    /** Whether no write is in flight that one of task range [range] would have to wait for. */
    fun isReady(job: Job, range: Int): Boolean = job.spec?.let { packers.getValue(it.kind).isReady(job, range) } ?: false

    /**
     * Writes as much of [plan] as the write budget allows now. What remains is planned again by a later round: a queue of
     * assignments of low priority would delay urgent ones behind it.
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

    /** Whether the budget allows a write without urgent jobs. Even where it does not, one is admitted from time to time. */
    private fun admitNonUrgent(affordableWrites: Int): Boolean {
        if (affordableWrites <= store.urgentReserve && loop.now() < nonUrgentWrittenAt + MAX_NON_URGENT_DELAY) {
            store.recordUnmetDemand(1)
            return false
        }
        nonUrgentWrittenAt = loop.now()
        return true
    }

    /**
     * The record of a task range with as many of the [choices] as a stored value can hold; the other tasks are assigned once
     * some of the range have ended. Null where no value can hold even the present content, or nothing would change.
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

    /** Services first, since most of them are urgent. */
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

    /** Still leading, every job's live record unchanged, and every shard still owned by the owner that reported the capacity. */
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

    /** Commits the first half of what would need too many conditions for one transaction; a later round plans the rest again. */
    private fun commitFirstHalf(choices: Map<TaskRange, List<PlacementChoice>>) {
        val half = firstHalf(choices)
        if (half.isEmpty()) return log.warn("assignment_needs_too_many_conditions task_ranges={}", choices.keys)
        val changes = half.mapValues { (range, chosen) ->
            RecordCodec.encode(rangeBuilder.build(replica.jobs.getValue(range.job), range.index, chosen, guaranteePreemptions = null))
        }
        pack(changes).forEach { packedWrite -> commit(packedWrite, packedWrite.ranges.associateWith { half.getValue(it) }) }
    }

    /** Half of the task ranges, or half of the tasks where there is one range. */
    private fun firstHalf(choices: Map<TaskRange, List<PlacementChoice>>): Map<TaskRange, List<PlacementChoice>> {
        if (choices.size > 1) return choices.entries.take(choices.size / 2).associate { it.key to it.value }
        return choices.mapValues { (_, chosen) -> chosen.take(chosen.size / 2) }.filterValues { it.isNotEmpty() }
    }

    /** Whether the leadership term in which [write] was made still lasts. */
    private fun isCurrent(write: AssignmentWrite) = write.term == term

    private fun onOutcome(write: AssignmentWrite, outcome: TransactionOutcome) = when (outcome) {
        is TransactionOutcome.Applied -> onApplied(write, outcome.revision)
        TransactionOutcome.Refused -> loop.after(SETTLE_DELAY_AFTER_REFUSAL) { settleIfCurrent(write) }
        // Surely not applied; but the job or shard record that has changed must be known before planning again.
        is TransactionOutcome.Conflict -> replica.catchUp { settleIfCurrent(write) }
        // It may still be applied: if others got its share of the quota meanwhile, the team could exceed the quota.
        TransactionOutcome.Unknown, TransactionOutcome.NoSuchLease ->
            unresolvedWrites.resolve(write.packedWrite, isOwner = { isCurrent(write) }) { settle(write) }
    }

    private fun onApplied(write: AssignmentWrite, revision: Revision) {
        log.debug("assignments_written tasks_by_job={} revision={}", write.tasksByJob, revision)
        for ((range, chosen) in write.choices) {
            val request = replica.jobs[range.job]?.spec?.request ?: Resources.ZERO
            chosen.forEach { capacityTable.reserve(it.machine, revision, request) }
        }
        replica.applyCommitted(write.transaction, revision)
        settle(write)
    }

    private fun settleIfCurrent(write: AssignmentWrite) {
        if (isCurrent(write)) settle(write)
    }

    /** The outcome of [write] is known, and none of its copies can be applied any more. */
    private fun settle(write: AssignmentWrite) {
        write.packedWrite.packer.clearInFlight(write.packedWrite)
        unresolvedTasks.resolve(write.tasksByJob)
    }

    private companion object {
        /** How long writes without urgent jobs may be held back for the sake of urgent ones. */
        val MAX_NON_URGENT_DELAY = 1500.milliseconds
        val SETTLE_DELAY_AFTER_REFUSAL = 200.milliseconds
        val log = LoggerFactory.getLogger("scheduling")
    }
}
