package copperglade.scheduling

import copperglade.storage.TaskRange
import java.util.BitSet

/**
 * A task to assign, and the machine whose free capacity the leader counts the task against. Only the machine's shard is
 * recorded; the shard owner selects the machine.
 */
internal class PlacementChoice(val task: Int, val machine: MachineCapacity)

/** The decisions of one scheduling round, by the task range whose record each decision changes. */
internal class AssignmentPlan {
    /** Tasks to assign. */
    val choices = LinkedHashMap<TaskRange, List<PlacementChoice>>()

    /** Assigned tasks to preempt so that another team gets its guaranteed capacity. */
    val guaranteePreemptions = LinkedHashMap<TaskRange, BitSet>()
    val ranges: Set<TaskRange> get() = choices.keys + guaranteePreemptions.keys
}
