package copperglade.protocol

/** A command of a shard owner to a worker, about an attempt at a task. */
sealed interface Command {
    val task: TaskId
    val attempt: Attempt

    /** Starts the attempt. Sent only with heartbeat responses, since a direct message may be executed again at any later time. */
    data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    /** Stops the attempt, after a checkpoint where the checkpoint takes no more than [graceSeconds]. */
    data class Stop(override val task: TaskId, override val attempt: Attempt, val graceSeconds: Double) : Command

    /** Removes the worker's record of an attempt that has ended. */
    data class Remove(override val task: TaskId, override val attempt: Attempt) : Command

    /**
     * Makes the worker send a heartbeat soon. Workers send one whenever their tasks change, and record a refused start as a task: this
     * starts a task of [job] that no job can have. It starts nothing, however often and wherever it is executed.
     */
    data class RequestHeartbeat(val job: JobId, override val attempt: Attempt) : Command {
        override val task get() = TaskId(job, JobSpec.MAX_TASKS)
    }
}
