package copperglade.fleet

import copperglade.protocol.TeamName
import copperglade.settings.Team
import kotlin.math.max

/** CPUs that are counted against the quotas of [teams]. */
internal class QuotaUsage(private val teams: Map<TeamName, Team>) {
    private val usedCpus = HashMap<TeamName, Double>()

    fun use(team: TeamName, cpus: Double) {
        usedCpus.merge(team, cpus, Double::plus)
    }

    /** What is left of the team's quota; very large where it has none. */
    fun remainingCpus(team: TeamName): Double {
        val quotaCpus = teams[team]?.cpusMax?.takeIf { it > 0.0 } ?: Double.MAX_VALUE
        return max(0.0, quotaCpus - (usedCpus[team] ?: 0.0))
    }
}
