package copperglade.fleet

import copperglade.protocol.TeamName
import copperglade.settings.Team
import kotlin.math.max

/** The CPUs that count against the quotas of the [teams]. */
internal class QuotaUsage(private val teams: Map<TeamName, Team>) {
    private val usedCpus = HashMap<TeamName, Double>()

    fun use(team: TeamName, cpus: Double) {
        usedCpus.merge(team, cpus, Double::plus)
    }

    /** The unused part of the team's quota; very large where the team has no quota. */
    fun remainingCpus(team: TeamName): Double {
        val quotaCpus = teams[team]?.maxCpus?.takeIf { it > 0.0 } ?: Double.MAX_VALUE
        return max(0.0, quotaCpus - (usedCpus[team] ?: 0.0))
    }
}
