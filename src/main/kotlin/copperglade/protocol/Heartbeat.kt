package copperglade.protocol

/** What a worker says of a task that it has, with the name on the wire. */
enum class ReportedTaskState(val wireName: String) {
    FETCHING("pulling"),

    /** Only gangs wait for their other tasks; read so that a newer worker is understood. */
    WAITING("waiting"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended"),
}

/** Why a task has ended, with the name on the wire. */
enum class ExitCause(val wireName: String) {
    DONE("done"),
    STOPPED("halted"),
    ERROR("error"),
    NO_CAPACITY("full"),
    BUSY("busy"),
    UNKNOWN_JOB("no_such"),

    /** A cause that this version doesn't know. */
    OTHER("other"),
}

/** A task on a machine, as its worker reports it; [cause] is given where it has ended. */
data class ReportedTask(val task: TaskId, val attempt: Attempt, val state: ReportedTaskState, val cause: ExitCause?)

/**
 * A worker's regular report, and its answer to commands.
 *
 * @property epoch grows whenever the worker has lost its lease, or its process has begun.
 * @property sequenceNumber grows with each heartbeat of an epoch.
 * @property fencingToken the highest that the worker has seen.
 * @property evictionNoticeSeconds when the cloud takes the machine back; null: not announced.
 */
data class Heartbeat(
    val machine: MachineName,
    val endpoint: Endpoint,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val epoch: Long,
    val sequenceNumber: Long,
    val fencingToken: FencingToken,
    val evictionNoticeSeconds: Double?,
    val reportedTasks: List<ReportedTask>,
) {
    /** Whether it was made after the heartbeat with these numbers. */
    fun isNewerThan(otherEpoch: Long, otherSequenceNumber: Long): Boolean =
        epoch > otherEpoch || (epoch == otherEpoch && sequenceNumber > otherSequenceNumber)
}
