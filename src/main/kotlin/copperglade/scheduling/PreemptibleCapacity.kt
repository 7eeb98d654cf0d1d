package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.Priority
import copperglade.protocol.Resources

/**
 * The resources that preempting array tasks on a machine would free. Services are never preempted.
 *
 * @property byPriority the resources of preemptible tasks, by the ordinal of their [Priority].
 */
class PreemptibleCapacity(val byPriority: List<Resources>) {
    private val lowestPriority = byPriority.indexOfLast { it.cpus > 0.0 }

    /** The preemptible resources that [coverDeficit] has not used yet, by priority. */
    private val remaining = byPriority.toTypedArray()

    /** Returns whether there were any tasks of lower priority than [priority] before the first [coverDeficit]. */
    fun hasBelow(priority: Priority): Boolean = lowestPriority > priority.ordinal

    /** Returns whether a task of [spec] fits into [free] after preempting all tasks of lower priority. */
    fun fitsWithPreemption(spec: JobSpec, free: Resources): Boolean = spec.request.fitsIn(withAllBelow(spec.priority, free))

    private fun withAllBelow(priority: Priority, free: Resources): Resources {
        var sum = free
        for (lower in priority.ordinal + 1..lowestPriority) sum += remaining[lower]
        return sum
    }

    /**
     * Covers a deficit of CPUs, which shows as negative CPUs in [free], by preempting tasks of lower priority than [priority],
     * the lowest first. Returns the free resources after that, which may still be too few.
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
