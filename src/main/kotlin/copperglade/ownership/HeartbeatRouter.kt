package copperglade.ownership

import copperglade.agents.HeartbeatOutcome
import copperglade.membership.Membership
import copperglade.protocol.Heartbeat
import copperglade.protocol.MemberId
import copperglade.protocol.ShardName
import copperglade.protocol.WorkerMessageCodec
import copperglade.shards.ShardMap
import copperglade.storage.Replica
import copperglade.transport.HttpStatus
import copperglade.transport.Reply

/**
 * Routes heartbeats to the owners of their shards, and redirects workers whose shard belongs to another controller.
 *
 * @param peersReachStateService whether at least one peer has reported that it reaches the state service: that peer, or another
 *   member, takes over the shards of this process once this process may no longer act.
 */
class HeartbeatRouter(
    private val owned: OwnedShards,
    private val shardMap: ShardMap,
    private val replica: Replica,
    private val membership: Membership,
    private val peersReachStateService: () -> Boolean,
) {
    /** Handles [heartbeat] and returns the response to it. */
    fun handle(heartbeat: Heartbeat): Reply {
        val name = shardMap.of(heartbeat.machine, heartbeat.zone)
        val shard = owned[name] ?: return redirect(name)
        if (membership.mayAct) return respond(shard.handleHeartbeat(heartbeat)) { Reply(HttpStatus.SERVICE_UNAVAILABLE) }
        if (!membership.mayExtendWorkerLeases || peersReachStateService()) return redirect(name)
        return respond(shard.extendWorkerLease(heartbeat)) { redirect(name) }
    }

    private inline fun respond(outcome: HeartbeatOutcome, otherwise: () -> Reply): Reply = when (outcome) {
        is HeartbeatOutcome.Acknowledged -> Reply(HttpStatus.OK, outcome.body)
        is HeartbeatOutcome.NotAcknowledged -> otherwise()
    }

    private fun redirect(shard: ShardName) = Reply(HttpStatus.MISDIRECTED_REQUEST, WorkerMessageCodec.encodeRedirect(otherOwner(shard)))

    /** The other controller that owns [shard] and is a member, according to the records; null if there is none. */
    private fun otherOwner(shard: ShardName): MemberId? {
        val record = replica.shards[shard]?.value ?: return null
        val ownerIsMember = replica.members[record.member]?.value?.incarnation == record.incarnation
        return record.member.takeIf { ownerIsMember && it != membership.self }
    }
}
