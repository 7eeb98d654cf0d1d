package copperglade.placement

import copperglade.agents.ShardAgents
import copperglade.tasks.ActionControl
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.ShardState
import copperglade.tasks.SharedClusterData
import copperglade.transport.Clock

/**
 * The parts of a shard's owner that decide what runs where, and describe the shard's machines to others. Only wires them.
 *
 * @param stragglerFactor a straggler has run for this multiple of its job's average run time.
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

    /** Describes the machines to the leader and to later owners. */
    val summary = ShardSummary(state, agents.health, clusterData.types, clusterData.failingJobs, clock)
}
