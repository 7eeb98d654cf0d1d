package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineAvailability
import copperglade.protocol.Resources
import copperglade.protocol.ShardName

/**
 * The capacity of one machine during a scheduling round, reduced by the tasks that the round assigns to the machine.
 *
 * @property machine the machine as its shard's owner reported it.
 */
class MachineCapacity(val shard: ShardName, val machine: MachineAvailability, free: Resources) {
    private val preemptible = PreemptibleCapacity(machine.preemptible)

    /** Whether the machine may get one task of each job only, see [MachineAvailability.onTrial]. */
    val isOnTrial: Boolean get() = machine.onTrial

    /** Resources not used by any task; negative while preempted tasks still run. */
    var free = free
        private set

    /**
     * Whether the machine is reserved for a task that does not fit yet. Without the reservation, small tasks would take all
     * capacity that is freed.
     */
    var isReserved = false

    /** Returns whether a task of [spec] fits after preempting all tasks of lower priority; false where there are none. */
    fun fitsWithPreemption(spec: JobSpec): Boolean =
        preemptible.hasBelow(spec.priority) && preemptible.fitsWithPreemption(spec, free)

    /** Allocates resources for a task of [spec], counting on preemption where [free] does not suffice. */
    fun allocate(spec: JobSpec) {
        free = preemptible.coverDeficit(free - spec.request, spec.priority)
    }
}
