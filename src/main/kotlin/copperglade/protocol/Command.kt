package copperglade.protocol

/** What a shard's owner tells a worker to do with an attempt at a task. */
sealed interface Command {
    val task: TaskId
    val attempt: Attempt

    /** Starts the attempt. */
    data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    /** Stops the attempt, with time for a checkpoint where it needs no more than [graceSeconds]. */
    data class Stop(override val task: TaskId, override val attempt: Attempt, val graceSeconds: Double) : Command

    /** Removes what the worker keeps of an attempt that has ended. */
    data class Remove(override val task: TaskId, override val attempt: Attempt) : Command
}
