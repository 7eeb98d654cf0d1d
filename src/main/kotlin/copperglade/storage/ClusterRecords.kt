package copperglade.storage

import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId

/** Who owns a shard. The record's revision is the fencing token of the shard's workers. */
data class ShardRecord(val member: MemberId, val incarnation: Incarnation) {
    /** Whether nobody owns the shard because [member] has released it; it should not be the next owner. */
    val released: Boolean get() = incarnation == NO_INCARNATION

    companion object {
        /** The state service numbers its leases, and with them the incarnations, from 1. */
        private val NO_INCARNATION = Incarnation(0)

        fun releasedBy(member: MemberId) = ShardRecord(member, NO_INCARNATION)
    }
}

/** Which images a shard's machines are known to hold. A hint only: it lets a new owner place tasks as well as the former one. */
class ImageRecord(val byMachine: Map<MachineName, List<ImageName>>)

/** A controller that is a member of the cluster. */
data class MemberRecord(val incarnation: Incarnation)

/** Who leads. The record's revision is the fencing token of the leader's writes. */
data class LeaderRecord(val member: MemberId, val incarnation: Incarnation)
