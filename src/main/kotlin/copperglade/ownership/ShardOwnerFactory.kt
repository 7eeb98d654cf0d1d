package copperglade.ownership

import copperglade.agents.ShardAgents
import copperglade.membership.FormerIncarnations
import copperglade.observability.EventLoopMetrics
import copperglade.placement.ShardScheduling
import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName
import copperglade.storage.Replica
import copperglade.tasks.ActionControl
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.ShardConnections
import copperglade.tasks.ShardState
import copperglade.tasks.SharedClusterData

/**
 * Creates the shard owners for shards that are granted to this process.
 *
 * @param stragglerFactor a task counts as a straggler once it has run for this multiple of its job's average run time.
 */
class ShardOwnerFactory(
    private val connections: ShardConnections,
    private val replica: Replica,
    private val control: ActionControl,
    private val clusterData: SharedClusterData,
    private val formerIncarnations: FormerIncarnations,
    private val timeouts: HeartbeatTimeouts,
    private val metrics: EventLoopMetrics,
    private val stragglerFactor: Double,
) {
    /** Returns a shard owner, not open yet, for the shard [name], which was granted to this process under [grantToken] just now. */
    fun create(name: ShardName, grantToken: FencingToken): ShardOwner {
        val loop = connections.loop
        val state = ShardState(name, grantToken, grantedAt = loop.now(), replica)
        val outcomes = OutcomeWriter(loop, connections.store, replica, state, clusterData.failingJobs)
        val agents = ShardAgents(state, outcomes, connections, control, clusterData, formerIncarnations, timeouts)
        val scheduling = ShardScheduling(state, agents, outcomes, control, clusterData, timeouts, stragglerFactor, loop)
        return ShardOwner(state, agents, scheduling, outcomes, replica, control.membership, metrics, loop)
    }
}
