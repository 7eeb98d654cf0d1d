package copperglade.storage

import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId

/** The owner of a shard. The record's revision is the fencing token for the shard's workers. */
data class ShardRecord(val member: MemberId, val incarnation: Incarnation) {
    /** Whether [member] has released the shard, which therefore has no owner; [member] should not be its next owner. */
    val released: Boolean get() = incarnation == NO_INCARNATION

    companion object {
        /** Never a real incarnation: incarnations are lease numbers, which the state service assigns from 1. */
        private val NO_INCARNATION = Incarnation(0)

        fun releasedBy(member: MemberId) = ShardRecord(member, NO_INCARNATION)
    }
}

/** The images cached on a shard's machines. Only a hint, which lets a new shard owner place tasks as well as the previous owner. */
class ImageRecord(val byMachine: Map<MachineName, List<ImageName>>)

/** A controller that is a member of the cluster. */
data class MemberRecord(val incarnation: Incarnation)

/** The current leader. The record's revision is the fencing token of the leader's writes. */
data class LeaderRecord(val member: MemberId, val incarnation: Incarnation)
