package copperglade.scheduling

import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName
import copperglade.storage.AssignmentGroup
import copperglade.storage.AssignmentRange
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.storage.ShardTaskRange
import java.util.BitSet

/** Builds the next version of the record of a job's task range. */
internal class AssignmentRangeBuilder(private val replica: Replica) {
    /**
     * Returns the record of task range [range] of [job] in which the tasks of [choices] are assigned and those of
     * [guaranteePreemptions] are marked for preemption. Tasks that are done or that their shard owner has returned to the
     * leader are left out. Each shard in [choices] must have an owner.
     */
    fun build(job: Job, range: Int, choices: List<PlacementChoice>, guaranteePreemptions: BitSet?): AssignmentRange {
        val current = job.assignmentRanges[range]?.value ?: AssignmentRange.EMPTY
        val groups = assignedGroups(job, range, current)
        val generation = current.lastGeneration + 1
        for ((shard, chosen) in choices.groupBy { it.machine.shard }) addToGroups(groups, shard, chosen, current.assignedEnd, generation)
        val assignedEnd = maxOf(current.assignedEnd, choices.maxOfOrNull { it.task + 1 } ?: 0)
        val preemptedForGuarantee = current.preemptedForGuarantee.clone() as BitSet
        choices.forEach { preemptedForGuarantee.clear(it.task) }
        guaranteePreemptions?.let(preemptedForGuarantee::or)
        return AssignmentRange(groups, preemptedForGuarantee, generation, assignedEnd, current.version + 1)
    }

    /**
     * Adds the [chosen] tasks to the [groups] of [shard].
     *
     * Tasks with an index of [assignedEnd] or above were never assigned, so no shard owner can have returned them. These tasks
     * may join an existing group of the shard: with a new group per round the record would outgrow a stored value. Tasks that
     * are assigned again go into a group of their own with the new [generation].
     */
    private fun addToGroups(
        groups: MutableList<AssignmentGroup>,
        shard: ShardName,
        chosen: List<PlacementChoice>,
        assignedEnd: Int,
        generation: Int,
    ) {
        val fencingToken = FencingToken(
            replica.shards
                .getValue(shard)
                .revision.number,
        )
        val reassigned = BitSet()
        val neverAssigned = BitSet()
        chosen.forEach { if (it.task < assignedEnd) reassigned.set(it.task) else neverAssigned.set(it.task) }
        val joinedIndex = groups.indexOfFirst { it.shard == shard && it.fencingToken == fencingToken }
        if (!neverAssigned.isEmpty && joinedIndex >= 0) {
            val group = groups[joinedIndex]
            val tasks = group.tasks.clone() as BitSet
            tasks.or(neverAssigned)
            groups[joinedIndex] = AssignmentGroup(shard, fencingToken, group.generation, tasks)
        } else {
            reassigned.or(neverAssigned)
        }
        if (!reassigned.isEmpty) groups += AssignmentGroup(shard, fencingToken, generation, reassigned)
    }

    /** Returns the groups of the [current] record without tasks that are done or returned to the leader. */
    private fun assignedGroups(job: Job, range: Int, current: AssignmentRange): MutableList<AssignmentGroup> {
        val groups = ArrayList<AssignmentGroup>()
        for (group in current.groups) {
            val tasks = group.tasks.clone() as BitSet
            tasks.andNot(job.done)
            job.outcomes[ShardTaskRange(range, group.shard)]
                ?.value
                ?.returned
                ?.get(group.generation)
                ?.let(tasks::andNot)
            if (!tasks.isEmpty) groups += AssignmentGroup(group.shard, group.fencingToken, group.generation, tasks)
        }
        return groups
    }
}
