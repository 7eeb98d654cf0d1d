package copperglade.settings

import copperglade.protocol.TeamName

/**
 * A team's guarantee and its limit.
 *
 * @property cpus guaranteed CPUs; [gpus] likewise.
 * @property cpusMax the most CPUs that the team may use, 0 for no limit; [gpusMax] likewise.
 */
class Team(val name: TeamName, val guaranteedCpus: Double, val maxCpus: Double, val guaranteedGpus: Double, val maxGpus: Double) {
    /** Whether the team's limit allows this use, up to the rounding of sums. */
    fun isWithinLimit(usedCpus: Double, usedGpus: Double): Boolean =
        (maxCpus <= 0.0 || usedCpus <= maxCpus + ROUNDING_TOLERANCE) && (maxGpus <= 0.0 || usedGpus <= maxGpus + ROUNDING_TOLERANCE)

    /** Whether this use is within the team's guarantee, up to the rounding of sums. */
    fun isWithinGuarantee(usedCpus: Double, usedGpus: Double): Boolean =
        usedCpus <= guaranteedCpus + ROUNDING_TOLERANCE && usedGpus <= guaranteedGpus + ROUNDING_TOLERANCE

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
