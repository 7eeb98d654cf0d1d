package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName
import java.util.BitSet

/**
 * Tasks that the leader assigned to a shard.
 *
 * @property fencingToken the shard's token at that time: an owner that still holds it knows that no other owner can have started these
 *   tasks.
 * @property generation tells repeated assignments of a task to the same shard apart.
 */
class AssignmentGroup(val shard: ShardName, val fencingToken: FencingToken, val generation: Int, val tasks: BitSet)

/**
 * The assignments of a [TaskRange]. Only the leader writes it.
 *
 * @property lastGeneration the highest generation so far, though its group may be gone: if a generation were used again, an earlier
 *   return of a task would count for the new assignment.
 * @property assignedEnd the exclusive end of the task indices ever assigned: no task from this index on has ever been assigned, so none can have been returned either.
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
