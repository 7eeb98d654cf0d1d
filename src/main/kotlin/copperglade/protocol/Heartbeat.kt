package copperglade.protocol

/** The state of a task as reported by its worker, with the name on the wire. */
enum class ReportedTaskState(val wireName: String) {
    FETCHING("pulling"),

    /** A gang's task that waits for the gang's other tasks; decoded so that heartbeats of newer workers are accepted. */
    WAITING("waiting"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended"),
}

/** The reason why a task has ended, with the name on the wire. */
enum class ExitCause(val wireName: String) {
    DONE("done"),
    STOPPED("halted"),
    ERROR("error"),
    NO_CAPACITY("full"),
    BUSY("busy"),
    UNKNOWN_JOB("no_such"),

    /** Any cause that this version does not define. */
    OTHER("other"),
}

/** A task on a machine, as reported by the machine's worker; [cause] is set where the task has ended. */
data class ReportedTask(val task: TaskId, val attempt: Attempt, val state: ReportedTaskState, val cause: ExitCause?)

/**
 * A worker's report, which the worker sends at regular intervals and as its answer to commands.
 *
 * @property epoch increases whenever the worker has lost its lease or the worker's process has started.
 * @property sequenceNumber increases with each heartbeat of an epoch.
 * @property fencingToken the highest fencing token that the worker has received.
 * @property evictionNoticeSeconds when the cloud reclaims the machine; null: no eviction is announced.
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
    /** Whether this heartbeat was made after the heartbeat with the given numbers. */
    fun isNewerThan(otherEpoch: Long, otherSequenceNumber: Long): Boolean =
        epoch > otherEpoch || (epoch == otherEpoch && sequenceNumber > otherSequenceNumber)
}
