package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineType

/**
 * The cost of running a task on a machine: the lower, the better. The unit is a second of waiting time that would be as bad.
 * The leader and the shard owners use the same cost.
 */
object PlacementCost {
    /**
     * Keeps on-demand machines free for tasks that can't run on spot machines, so that on-demand machines become idle and can be
     * scaled in.
     */
    private const val ON_DEMAND_FOR_SPOT_TASK_COST_SECONDS = 4.0

    /** Preempted tasks lose the work that they have done. */
    private const val PREEMPTION_COST_SECONDS = 1.0
    private const val MIN_FETCH_GB_PER_SECOND = 1e-3

    /** @param type the machine's type; null where the type is unknown. */
    fun of(spec: JobSpec, type: MachineType?, spot: Boolean, imageCached: Boolean, preempts: Boolean): Double {
        var cost = 0.0
        if (!imageCached) cost += spec.image.sizeGb / (type?.fetchGbPerSecond ?: 1.0).coerceAtLeast(MIN_FETCH_GB_PER_SECOND)
        if (spec.spotAllowed && !spot) cost += ON_DEMAND_FOR_SPOT_TASK_COST_SECONDS
        if (preempts) cost += PREEMPTION_COST_SECONDS
        return cost
    }
}
