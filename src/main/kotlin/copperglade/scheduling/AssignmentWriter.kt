package copperglade.scheduling

import copperglade.membership.Leadership
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.storage.AssignmentGroup
import copperglade.storage.AssignmentRange
import copperglade.storage.Condition
import copperglade.storage.Job
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
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/** A task and the room that it is given. */
class PlacementChoice(val task: Int, val machineCapacity: CapacityTable.MachineCapacity)

/** What a round of the leader has chosen, by the pages to be written. */
class AssignmentPlan {
    val choices = LinkedHashMap<TaskRange, List<PlacementChoice>>()
    val guaranteePreemptions = LinkedHashMap<TaskRange, BitSet>()
    val places get() = choices.keys + guaranteePreemptions.keys
}

/** A page as it is to be written, and those of the choices that went into it. */
private class FittingRange(val choices: List<PlacementChoice>, val bytes: ByteArray)

/** Writes the leader's decisions down, and keeps count of those whose outcome is not known yet. */
class AssignmentWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val capacityTable: CapacityTable,
) {
    /** Arrays are written again and again while they run, services once: apart, a round of arrays is few packed records. */
    private val packers = JobKind.entries.associateWith { kind ->
        RecordPacker(
            replica,
            store.limits,
            Keys.assignmentRecords(kind),
            { job, page -> job.assignmentRanges[page] },
            { job, page -> job.assignmentRanges[page]?.let { RecordCodec.encode(it.value) } },
        )
    }

    private val unresolvedWrites = UnresolvedWrites(loop, store, replica, WritePriority.ASSIGNMENT) { leadership.condition }

    /** Tasks whose assignment is on its way or of unknown outcome: they count as assigned. */
    private val pending = HashMap<JobId, Int>()

    /** The leadership term that [pending] belongs to. */
    private var term = Revision.ABSENT
    private var unhurriedWrittenAt = MonotonicTime.NEVER

    /** What an earlier leadership term left behind can't be applied any more: its revision was a condition of all. */
    fun beginRound() {
        if (term == leadership.revision) return
        term = leadership.revision
        pending.clear()
        packers.values.forEach { it.clearAllInFlight() }
    }

    fun pends(job: JobId): Boolean = job in pending

    fun pendingTasks(job: JobId): Int = pending[job] ?: 0

    /** Whether no write is under way that one of this page would have to wait for. */
    fun ready(job: Job, page: Int): Boolean = job.spec?.let { packers.getValue(it.kind).ready(job, page) } ?: false

    /** The page with the [choices] added, and without the tasks that are done or given back. */
    private fun pageWith(job: Job, page: Int, choices: List<PlacementChoice>, guaranteePreemptions: BitSet?): AssignmentRange {
        val present = job.assignmentRanges[page]?.value ?: AssignmentRange.EMPTY
        val groups = assignedGroups(job, page, present)
        val generation = present.lastGeneration + 1
        var frontier = present.frontier
        for ((shard, chosen) in choices.groupBy { it.machineCapacity.shard }) {
            val fencingToken = FencingToken(
                replica.shards
                    .getValue(shard)
                    .revision.number,
            )
            val again = BitSet()
            val first = BitSet()
            chosen.forEach { if (it.task < present.frontier) again.set(it.task) else first.set(it.task) }
            // A task that was never assigned can't have been given back, so it may share a group that stands already:
            // a group for every round would outgrow the value.
            val joined = groups.indexOfFirst { it.shard == shard && it.fencingToken == fencingToken }
            if (!first.isEmpty && joined >= 0) {
                val group = groups[joined]
                val tasks = group.tasks.clone() as BitSet
                tasks.or(first)
                groups[joined] = AssignmentGroup(shard, fencingToken, group.generation, tasks)
            } else {
                again.or(first)
            }
            if (!again.isEmpty) groups += AssignmentGroup(shard, fencingToken, generation, again)
            frontier = maxOf(frontier, chosen.maxOf { it.task } + 1)
        }
        val preemptedForGuarantee = present.preemptedForGuarantee.clone() as BitSet
        choices.forEach { preemptedForGuarantee.clear(it.task) }
        guaranteePreemptions?.let(preemptedForGuarantee::or)
        return AssignmentRange(groups, preemptedForGuarantee, generation, frontier, present.version + 1)
    }

    private fun assignedGroups(job: Job, page: Int, present: AssignmentRange): ArrayList<AssignmentGroup> {
        val groups = ArrayList<AssignmentGroup>()
        for (group in present.groups) {
            val tasks = group.tasks.clone() as BitSet
            tasks.andNot(job.done)
            job.outcomes[ShardTaskRange(page, group.shard)]
                ?.value
                ?.returned
                ?.get(group.generation)
                ?.let(tasks::andNot)
            if (!tasks.isEmpty) groups += AssignmentGroup(group.shard, group.fencingToken, group.generation, tasks)
        }
        return groups
    }

    fun write(plan: AssignmentPlan) {
        val changes = LinkedHashMap<TaskRange, ByteArray>()
        val chosen = HashMap<TaskRange, List<PlacementChoice>>()
        for (place in plan.places) {
            val choices = plan.choices[place].orEmpty()
            if (choices.any { it.machineCapacity.shard !in replica.shards }) continue
            val fitting = fittingPage(place, choices, plan.guaranteePreemptions[place]) ?: continue
            changes[place] = fitting.bytes
            chosen[place] = fitting.choices
        }
        // No more than can be written now: what must wait is decided later, with more room at a time. Otherwise a
        // queue of decisions about lesser work would hold up the urgent ones behind it.
        var affordable = store.affordableAssignments()
        for (packedWrite in pack(changes)) {
            val urgent = packedWrite.ranges.any { replica.jobs[it.job]?.spec?.let { spec -> spec.priority <= Priority.HIGH } ?: false }
            if (!urgent) {
                // However little there is, some of it is theirs.
                if (affordable <= store.urgentReserve && loop.now() < unhurriedWrittenAt + MAX_WITHOUT) {
                    store.recordUnmetDemand(1)
                    continue
                }
                unhurriedWrittenAt = loop.now()
            }
            affordable--
            commit(packedWrite, packedWrite.ranges.associateWith { chosen.getValue(it) })
        }
    }

    /**
     * The page with as many of the [choices] as a value of the service can hold; the other tasks are assigned once some
     * of the page's are over. Null where it could not hold even the page as it stands, or nothing would change.
     */
    private fun fittingPage(place: TaskRange, choices: List<PlacementChoice>, guaranteePreemptions: BitSet?): FittingRange? {
        val job = replica.jobs.getValue(place.job)
        val packer = packers.getValue(job.spec?.kind ?: return null)
        var kept = choices
        while (true) {
            val bytes = RecordCodec.encode(pageWith(job, place.index, kept, guaranteePreemptions))
            if (packer.fitsValue(place, bytes)) return FittingRange(kept, bytes)
            if (kept.isEmpty()) return null
            kept = kept.take(kept.size / 2)
            if (kept.isEmpty() && guaranteePreemptions == null) return null
        }
    }

    /** Services first: they are the urgent ones as a rule. */
    private fun pack(changes: Map<TaskRange, ByteArray>): List<PackedWrite> = packers.entries
        .sortedBy { it.key != JobKind.SERVICE }
        .flatMap { (kind, packer) -> packer.pack(changes.filterKeys { replica.jobs[it.job]?.spec?.kind == kind }) }

    private fun commit(packedWrite: PackedWrite, choices: Map<TaskRange, List<PlacementChoice>>) {
        val conditions = LinkedHashSet<Condition>()
        conditions += leadership.condition
        conditions += packedWrite.condition
        for ((place, chosen) in choices) {
            conditions += Condition(Keys.live(place.job), replica.jobs.getValue(place.job).liveRevision())
            chosen.mapTo(
                conditions,
            ) { Condition(Keys.shard(it.machineCapacity.shard), replica.shards.getValue(it.machineCapacity.shard).revision) }
        }
        if (conditions.size > store.limits.transactionConditions) return commitPart(choices)
        val transaction = Transaction(conditions.toList(), listOf(packedWrite.write))
        val counts = HashMap<JobId, Int>()
        choices.forEach { (place, chosen) -> counts.merge(place.job, chosen.size, Int::plus) }
        counts.forEach { (job, count) -> pending.merge(job, count, Int::plus) }
        packedWrite.packer.markInFlight(packedWrite)
        val spell = term
        store.commit(WritePriority.ASSIGNMENT, transaction) { outcome ->
            if (spell != term) return@commit
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    log.debug("{} assigned", counts)
                    for ((place, chosen) in choices) {
                        val request = replica.jobs[place.job]?.spec?.request ?: Resources.ZERO
                        chosen.forEach { capacityTable.reserve(it.machineCapacity, outcome.revision, request) }
                    }
                    replica.applyCommitted(transaction, outcome.revision)
                    settled(packedWrite, counts)
                }
                TransactionOutcome.Refused -> loop.after(AFTER_REFUSAL) { if (spell == term) settled(packedWrite, counts) }
                // Somebody cancelled, a shard changed hands: surely not applied, but what stood in the way must be known.
                is TransactionOutcome.Conflict -> replica.catchUp { if (spell == term) settled(packedWrite, counts) }
                // It may yet be applied, so its tasks count as assigned: giving their share to others on the word of a
                // reading alone could put a team over its limit.
                TransactionOutcome.Unknown, TransactionOutcome.NoSuchLease ->
                    unresolvedWrites.resolve(packedWrite, ours = { spell == term }) { settled(packedWrite, counts) }
            }
        }
    }

    /** Too many jobs or shards for one transaction: the first half of them now, the others in a later round. */
    private fun commitPart(choices: Map<TaskRange, List<PlacementChoice>>) {
        val part = firstHalf(choices)
        if (part.isEmpty()) return log.warn("assignments of {} need too many conditions", choices.keys)
        val changes = part.mapValues { (place, chosen) ->
            RecordCodec.encode(pageWith(replica.jobs.getValue(place.job), place.index, chosen, guaranteePreemptions = null))
        }
        pack(changes).forEach { packedWrite -> commit(packedWrite, packedWrite.ranges.associateWith { part.getValue(it) }) }
    }

    /** Half of the pages, or half of the tasks where there is one page. */
    private fun firstHalf(choices: Map<TaskRange, List<PlacementChoice>>): Map<TaskRange, List<PlacementChoice>> {
        if (choices.size > 1) return choices.entries.take(choices.size / 2).associate { it.key to it.value }
        return choices.mapValues { (_, chosen) -> chosen.take(chosen.size / 2) }.filterValues { it.isNotEmpty() }
    }

    private fun settled(packedWrite: PackedWrite, counts: Map<JobId, Int>) {
        packedWrite.packer.clearInFlight(packedWrite)
        counts.forEach { (job, count) -> pending.computeIfPresent(job) { _, sum -> (sum - count).takeIf { it > 0 } } }
    }

    private companion object {
        val MAX_WITHOUT = 1500.milliseconds
        val AFTER_REFUSAL = 200.milliseconds
        val log = LoggerFactory.getLogger("assigner")
    }
}
