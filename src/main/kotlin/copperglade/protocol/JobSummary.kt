package copperglade.protocol

/** The status of a job, with the name on the wire. A final status never changes. */
enum class JobStatus(val wireName: String, val isFinal: Boolean) {
    QUEUED("queued", false),
    RUNNING("running", false),
    DONE("done", true),
    CANCELLED("aborted", true),
}

/**
 * The progress of a job, as reported to users.
 *
 * @property tasksDone the number of tasks that are done.
 * @property tasksRunning the number of tasks that are assigned to machines.
 */
class JobSummary(val id: JobId, val status: JobStatus, val tasksDone: Int, val tasksRunning: Int)
