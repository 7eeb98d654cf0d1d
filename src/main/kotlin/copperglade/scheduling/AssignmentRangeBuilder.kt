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
     * The record of task range [range] of [job] with the tasks of [choices] assigned and [guaranteePreemptions] marked, and
     * without tasks that are done or given back. The shards of all choices must have an owner.
     */
    fun build(job: Job, range: Int, choices: List<PlacementChoice>, guaranteePreemptions: BitSet?): AssignmentRange {
        val present = job.assignmentRanges[range]?.value ?: AssignmentRange.EMPTY
        val groups = assignedGroups(job, range, present)
        val generation = present.lastGeneration + 1
        for ((shard, chosen) in choices.groupBy { it.machine.shard }) addToGroups(groups, shard, chosen, present.assignedEnd, generation)
        val assignedEnd = maxOf(present.assignedEnd, choices.maxOfOrNull { it.task + 1 } ?: 0)
        val preemptedForGuarantee = present.preemptedForGuarantee.clone() as BitSet
        choices.forEach { preemptedForGuarantee.clear(it.task) }
        guaranteePreemptions?.let(preemptedForGuarantee::or)
        return AssignmentRange(groups, preemptedForGuarantee, generation, assignedEnd, present.version + 1)
    }

    /**
     * Adds the [chosen] tasks to the [groups] of [shard]. A task from [assignedEnd] on was never assigned, so it can't have been
     * given back either and may join a present group of the shard: with a group per round the record would outgrow a value.
     * A task that is assigned again goes into a group of its own with the new [generation].
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
        val joined = groups.indexOfFirst { it.shard == shard && it.fencingToken == fencingToken }
        if (!neverAssigned.isEmpty && joined >= 0) {
            val group = groups[joined]
            val tasks = group.tasks.clone() as BitSet
            tasks.or(neverAssigned)
            groups[joined] = AssignmentGroup(shard, fencingToken, group.generation, tasks)
        } else {
            reassigned.or(neverAssigned)
        }
        if (!reassigned.isEmpty) groups += AssignmentGroup(shard, fencingToken, generation, reassigned)
    }

    /** The present groups without tasks that are done or given back. */
    private fun assignedGroups(job: Job, range: Int, present: AssignmentRange): MutableList<AssignmentGroup> {
        val groups = ArrayList<AssignmentGroup>()
        for (group in present.groups) {
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
