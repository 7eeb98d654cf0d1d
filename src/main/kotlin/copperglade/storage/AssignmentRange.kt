package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName
import java.util.BitSet

/**
 * Tasks that the leader assigned to a shard.
 *
 * @property fencingToken the shard's fencing token at the assignment. While an owner holds this token, no other owner can have started
 *   these tasks.
 * @property generation distinguishes repeated assignments of a task to the same shard.
 */
class AssignmentGroup(val shard: ShardName, val fencingToken: FencingToken, val generation: Int, val tasks: BitSet)

/**
 * The assignments of a [TaskRange]. Only the leader writes this record.
 *
 * @property lastGeneration the highest generation used so far, even if its group has been removed. If a generation were used again, an
 *   earlier return of a task would count for the new assignment.
 * @property assignedEnd the exclusive end of the task indices ever assigned. Tasks from this index on have never been assigned, so none
 *   of them can have been returned.
 */
class AssignmentRange(
    val groups: List<AssignmentGroup>,
    val preemptedForGuarantee: BitSet,
    val lastGeneration: Int,
    val assignedEnd: Int,
    override val version: Int,
) : Versioned {
    companion object {
        val EMPTY = AssignmentRange(emptyList(), BitSet(), 0, 0, 0)
    }
}
