package copperglade.fleet

import copperglade.protocol.MachineAvailability
import copperglade.protocol.Resources
import copperglade.storage.Job

/**
 * Finds jobs whose tasks fit on none of the [machines] although the machines together have enough free capacity.
 *
 * @param roundMillis the time of the scaling round, in wall-clock milliseconds.
 */
internal class FragmentationCheck(private val machines: Collection<MachineAvailability>, private val roundMillis: Long) {
    private data class ConstrainedRequest(val constraint: PlacementConstraint, val request: Resources)

    /** Results by constraint and request, which many jobs have in common. */
    private val results = HashMap<ConstrainedRequest, Boolean>()

    /** Whether [job] has waited for [MIN_WAIT_MILLIS] and its tasks fit on no machine because free capacity is fragmented. */
    fun isFragmented(job: Job): Boolean {
        val spec = job.spec ?: return false
        if (roundMillis < job.startableSinceMillis + MIN_WAIT_MILLIS) return false
        val constraint = PlacementConstraint(spec.types, spec.zone, spec.spotAllowed)
        return results.getOrPut(ConstrainedRequest(constraint, spec.request)) { isFragmentedFor(constraint, spec.request) }
    }

    private fun isFragmentedFor(constraint: PlacementConstraint, request: Resources): Boolean {
        val allowed = machines.filter { it.usable && constraint.allows(it.type, it.zone, it.spot) }
        return allowed.none { request.fitsIn(it.free) } && allowed.sumOf { it.free.cpus } >= request.cpus
    }

    private companion object {
        const val MIN_WAIT_MILLIS = 20_000L
    }
}
