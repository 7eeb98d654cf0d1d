package copperglade.scheduling

import copperglade.storage.TaskRange
import java.util.BitSet

/** A task and the machine whose capacity it is to use. */
internal class PlacementChoice(val task: Int, val machine: MachineCapacity)

/** What a scheduling round has decided, by the task ranges whose records are to be written. */
internal class AssignmentPlan {
    /** Tasks to assign. */
    val choices = LinkedHashMap<TaskRange, List<PlacementChoice>>()

    /** Assigned tasks to preempt for a guarantee. */
    val guaranteePreemptions = LinkedHashMap<TaskRange, BitSet>()
    val ranges: Set<TaskRange> get() = choices.keys + guaranteePreemptions.keys
}
