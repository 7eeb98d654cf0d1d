package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineType

/** How little a place suits a task, in seconds of waiting that would be as bad. Leader and owners judge alike. */
object PlacementCost {
    /** Ordinary machines are kept for what can't run elsewhere, so that they empty and can be returned. */
    private const val ORDINARY_FOR_FLEXIBLE_S = 4.0

    /** Stopping work of lower priority loses what it has done. */
    private const val PREEMPTION_S = 1.0
    private const val SLOWEST_GB_PER_S = 1e-3

    fun of(spec: JobSpec, type: MachineType?, spot: Boolean, imageThere: Boolean, preempts: Boolean): Double {
        var cost = 0.0
        if (!imageThere) cost += spec.image.gb / (type?.fetchGbPerSecond ?: 1.0).coerceAtLeast(SLOWEST_GB_PER_S)
        if (spec.spotAllowed && !spot) cost += ORDINARY_FOR_FLEXIBLE_S
        if (preempts) cost += PREEMPTION_S
        return cost
    }
}
