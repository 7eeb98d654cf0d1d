package copperglade.settings

import copperglade.protocol.TeamName

/**
 * A team's guarantee and its limit.
 *
 * @property cpus guaranteed CPUs; [gpus] likewise.
 * @property cpusMax the most CPUs that the team may use, 0 for no limit; [gpusMax] likewise.
 */
class Team(val name: TeamName, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    /** Whether the team's limit allows this use, up to the rounding of sums. */
    fun allows(cpusUsed: Double, gpusUsed: Double): Boolean =
        (cpusMax <= 0.0 || cpusUsed <= cpusMax + ROUNDING_TOLERANCE) && (gpusMax <= 0.0 || gpusUsed <= gpusMax + ROUNDING_TOLERANCE)

    /** Whether this use is within the team's guarantee, up to the rounding of sums. */
    fun guarantees(cpusUsed: Double, gpusUsed: Double): Boolean =
        cpusUsed <= cpus + ROUNDING_TOLERANCE && gpusUsed <= gpus + ROUNDING_TOLERANCE

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
