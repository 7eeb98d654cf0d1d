package copperglade.protocol

/** A command of a shard owner to a worker, about an attempt at a task. */
sealed interface Command {
    val task: TaskId
    val attempt: Attempt

    /** Starts the attempt. */
    data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    /** Stops the attempt, after a checkpoint where the checkpoint takes no more than [graceSeconds]. */
    data class Stop(override val task: TaskId, override val attempt: Attempt, val graceSeconds: Double) : Command

    /** Removes the worker's record of an attempt that has ended. */
    data class Remove(override val task: TaskId, override val attempt: Attempt) : Command
}
