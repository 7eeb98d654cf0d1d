package copperglade.fleet

import copperglade.protocol.TeamName
import copperglade.settings.OperatorSettings
import copperglade.settings.Team

/** The settings that determine the size of the fleet besides demand: the quotas of the [teams] and the operators' settings. */
class AutoscalerSettings(val teams: Map<TeamName, Team>, val operatorSettings: OperatorSettings)
