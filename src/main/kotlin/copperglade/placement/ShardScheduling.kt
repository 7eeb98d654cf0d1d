package copperglade.placement

import copperglade.agents.ShardAgents
import copperglade.tasks.ActionControl
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.ShardState
import copperglade.tasks.SharedClusterData
import copperglade.transport.Clock

/**
 * Creates and connects the components of a shard's owner that select machines for tasks and report the shard's machines to other
 * controllers.
 *
 * @param stragglerFactor a task that has run for more than this multiple of its job's average run time is a straggler.
 */
class ShardScheduling(
    state: ShardState,
    agents: ShardAgents,
    outcomes: OutcomeWriter,
    control: ActionControl,
    clusterData: SharedClusterData,
    timeouts: HeartbeatTimeouts,
    stragglerFactor: Double,
    clock: Clock,
) {
    private val eligibility = StartEligibility(
        state.runs,
        control.membership,
        control.guard,
        control.audit,
        clusterData.failingJobs,
        agents.backoff,
        clock,
    )

    /** Starts waiting runs. */
    val placement =
        ShardPlacement(state, agents.health, agents.lifecycle, agents.stopper, agents.commands, eligibility, clusterData.types)
    private val stragglerDetector = StragglerDetector(
        clusterData.profiles,
        clusterData.types,
        clusterData.failureEvidence,
        timeouts,
        stragglerFactor,
        state::requestOf,
    )

    /** Restarts stragglers. */
    val stragglers = StragglerRestarts(state, stragglerDetector, outcomes, agents.stopper, clock)

    /** Reports the shard's machines to the leader and to later owners. */
    val summary = ShardSummary(state, agents.health, clusterData.types, clusterData.failingJobs, clock)
}
