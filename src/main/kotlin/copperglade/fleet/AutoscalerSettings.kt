package copperglade.fleet

import copperglade.protocol.TeamName
import copperglade.settings.OperatorSettings
import copperglade.settings.Team

/** What the size of the fleet depends on besides demand: the quotas of the [teams] and the settings of the operators. */
class AutoscalerSettings(val teams: Map<TeamName, Team>, val operatorSettings: OperatorSettings)
