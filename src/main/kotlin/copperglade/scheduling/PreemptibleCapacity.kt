package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.Priority
import copperglade.protocol.Resources

/**
 * What preempting array tasks on a machine would free. Services are never preempted.
 *
 * @property byPriority the resources of preemptible tasks, by the ordinal of their [Priority].
 */
class PreemptibleCapacity(val byPriority: List<Resources>) {
    private val lowestPriority = byPriority.indexOfLast { it.cpus > 0.0 }

    /** What [coverDeficit] has not used up. */
    private val remaining = byPriority.toTypedArray()

    /** Whether there were any tasks of lower priority than [priority] to begin with. */
    fun hasBelow(priority: Priority): Boolean = lowestPriority > priority.ordinal

    /** Whether a task of [spec] fits into [free] after preempting all tasks of lower priority. */
    fun fitsWithPreemption(spec: JobSpec, free: Resources): Boolean = spec.request.fitsIn(withAllBelow(spec.priority, free))

    private fun withAllBelow(priority: Priority, free: Resources): Resources {
        var sum = free
        for (lower in priority.ordinal + 1..lowestPriority) sum += remaining[lower]
        return sum
    }

    /**
     * Covers the CPUs that [free] is short of by preempting tasks of lower priority than [priority], the lowest first;
     * returns what is free then, which may still be too little.
     */
    fun coverDeficit(free: Resources, priority: Priority): Resources {
        var sum = free
        var lower = remaining.lastIndex
        while (sum.cpus < 0.0 && lower > priority.ordinal) {
            sum += remaining[lower]
            remaining[lower] = Resources.ZERO
            lower--
        }
        return sum
    }
}
