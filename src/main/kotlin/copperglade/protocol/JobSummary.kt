package copperglade.protocol

/** What has become of a job, with the name on the wire. A final status never changes. */
enum class JobStatus(val wireName: String, val isFinal: Boolean) {
    QUEUED("queued", false),
    RUNNING("running", false),
    DONE("done", true),
    CANCELLED("aborted", true),
}

/**
 * What a user is told of a job.
 *
 * @property done how many of its tasks are done.
 * @property running how many of its tasks are assigned to machines.
 */
class JobSummary(val id: JobId, val status: JobStatus, val done: Int, val running: Int)
