package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName

/** The assignment of one task that is neither done nor returned by its shard. See [AssignmentGroup]. */
class Assignment(
    val task: Int,
    val shard: ShardName,
    val fencingToken: FencingToken,
    val generation: Int,
    val preemptedForGuarantee: Boolean,
)
