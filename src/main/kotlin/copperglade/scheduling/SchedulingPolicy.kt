package copperglade.scheduling

import copperglade.protocol.TeamName
import copperglade.settings.ServiceLevelObjectives
import copperglade.settings.Team

/** The rules of the leader's scheduling rounds: quotas and guarantees, objectives, and the share of starving jobs. */
class SchedulingPolicy(
    val teams: Map<TeamName, Team>,
    val objectives: ServiceLevelObjectives,
    val starvationPrevention: StarvationPrevention,
)
