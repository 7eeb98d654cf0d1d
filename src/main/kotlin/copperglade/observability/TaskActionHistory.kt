package copperglade.observability

import copperglade.protocol.Attempt
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId

/**
 * An action of this controller on an attempt at a task.
 *
 * @property detail why the action was allowed or taken, as `key=value` pairs or in a few words.
 */
class TaskAction(
    val at: MonotonicTime,
    val event: String,
    val task: TaskId,
    val attempt: Attempt,
    val machine: MachineName,
    val epoch: Long,
    val detail: String,
) {
    /** Returns the action in one word, with its age in milliseconds at [now]. */
    fun describe(now: MonotonicTime): String = "$event(age_ms=${now.millis - at.millis} attempt=$attempt machine=$machine epoch=$epoch " +
        "fencing_token=${attempt.fencingToken} $detail)"
}

/**
 * The most recent actions of this controller on tasks, at most [capacity] of them. The history of a single task is logged where something
 * unexpected is seen of it, which takes far less than a line for every action.
 */
class TaskActionHistory(private val capacity: Int = DEFAULT_CAPACITY) {
    private val actions = ArrayDeque<TaskAction>()

    /** The number of actions that are kept. */
    val size: Int get() = actions.size

    fun record(action: TaskAction) {
        if (actions.size == capacity) actions.removeFirst()
        actions += action
    }

    /** Returns the last [MAX_PER_TASK] actions on [task] that are kept, oldest first. Searches the whole history. */
    fun of(task: TaskId): List<TaskAction> = actions.filter { it.task == task }.takeLast(MAX_PER_TASK)

    private companion object {
        /** Some 4 MB, and over a minute at the rate of a controller of several hundred busy machines. */
        const val DEFAULT_CAPACITY = 32_768
        const val MAX_PER_TASK = 20
    }
}
