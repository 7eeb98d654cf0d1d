package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName

/** One task's assignment, which is neither done nor returned. See [AssignmentGroup]. */
class Assignment(
    val task: Int,
    val shard: ShardName,
    val fencingToken: FencingToken,
    val generation: Int,
    val preemptedForGuarantee: Boolean,
)
