package copperglade.settings

import copperglade.protocol.TeamName

/**
 * A team with its guaranteed resources and its resource limits.
 *
 * @property guaranteedCpus the number of CPUs guaranteed to the team.
 * @property maxCpus the maximum number of CPUs that the team may use; 0 means no limit.
 * @property guaranteedGpus the number of GPUs guaranteed to the team.
 * @property maxGpus the maximum number of GPUs that the team may use; 0 means no limit.
 */
class Team(val name: TeamName, val guaranteedCpus: Double, val maxCpus: Double, val guaranteedGpus: Double, val maxGpus: Double) {
    /** Whether this use is within the team's limits, with a tolerance for rounding errors of sums. */
    fun isWithinLimit(usedCpus: Double, usedGpus: Double): Boolean =
        (maxCpus <= 0.0 || usedCpus <= maxCpus + ROUNDING_TOLERANCE) && (maxGpus <= 0.0 || usedGpus <= maxGpus + ROUNDING_TOLERANCE)

    /** Whether this use is within the team's guarantee, with a tolerance for rounding errors of sums. */
    fun isWithinGuarantee(usedCpus: Double, usedGpus: Double): Boolean =
        usedCpus <= guaranteedCpus + ROUNDING_TOLERANCE && usedGpus <= guaranteedGpus + ROUNDING_TOLERANCE

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
