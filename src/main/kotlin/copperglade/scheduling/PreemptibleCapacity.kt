package copperglade.scheduling

import copperglade.protocol.Priority
import copperglade.protocol.Resources

/** What stopping array tasks on a machine would free, by their priority. Services are never stopped for others. */
class PreemptibleCapacity(val byPriority: List<Resources>) {
    /** The lowest priority of which something could be stopped; -1: nothing could. */
    private val lowest = byPriority.indexOfLast { it.cpus > 0.0 }

    /** What is left of it after [preemptInto]. */
    private val remaining = byPriority.toTypedArray()

    /** Whether anything of lower priority than [priority] could be stopped. */
    fun hasBelow(priority: Priority): Boolean = lowest > priority.ordinal

    /** [free], and what stopping everything of lower priority than [priority] would add to it. */
    fun withAllBelow(priority: Priority, free: Resources): Resources {
        var sum = free
        for (lower in priority.ordinal + 1..lowest) sum += remaining[lower]
        return sum
    }

    /** Takes what [free] is short of from what is of lower priority than [priority], the lowest first; what is free then. */
    fun preemptInto(free: Resources, priority: Priority): Resources {
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
