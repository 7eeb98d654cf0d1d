package copperglade.controller

import copperglade.fleet.Autoscaler
import copperglade.membership.Leadership
import copperglade.membership.Membership
import copperglade.membership.PeerStatusSource
import copperglade.ownership.OwnedShards
import copperglade.protocol.MemberId
import copperglade.protocol.PeerStatus
import copperglade.shards.ShardAssigner
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.transport.EventLoop

/** Composes the status that this controller sends to its peers. The leader's status includes its requests to the shard owners. */
internal class PeerStatusComposer(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val membership: Membership,
    private val leadership: Leadership,
    private val ownedShards: OwnedShards,
    private val shardAssigner: ShardAssigner,
    private val autoscaler: Autoscaler,
) : PeerStatusSource {
    override val machineCount: Int get() = ownedShards.machineCount

    override val currentLeader: MemberId? get() = replica.leader?.value?.member

    override fun compose(): PeerStatus? {
        val incarnation = membership.incarnation ?: return null
        val leading = leadership.leading
        return PeerStatus(
            member = membership.self,
            incarnation = incarnation,
            knownRevision = replica.knownRevision,
            stateServiceAnswerAgeMillis = loop.now().millis - store.lastAnswerAt.millis,
            isLeader = leading,
            shards = ownedShards.capacities(),
            shardsToRelease = if (leading) shardAssigner.shardsToRelease else emptyList(),
            machinesToRetire = if (leading) autoscaler.machinesToRetire else emptyList(),
            desiredWritesPerSecond = store.desiredWritesPerSecond,
        )
    }
}
