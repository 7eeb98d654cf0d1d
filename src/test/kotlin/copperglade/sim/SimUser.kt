package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec

/**
 * The user of one job: what was submitted, what the controllers have answered, and when. All times are simulated.
 *
 * @param requestedAtMillis when the user first wanted the job.
 * @param workSeconds the run time in seconds of the task with the given index; null for one that runs until it is stopped.
 */
class SimUser(val spec: JobSpec, val dependencies: List<JobId>, val requestedAtMillis: Double, val workSeconds: (Int) -> Double?) {
    /** When the acceptance was confirmed to the user, and with which HTTP status. */
    var acceptedAtMillis: Double? = null
    var acceptedStatus = 0
    val accepted get() = acceptedAtMillis != null

    /** The status in the latest answer. */
    var status = "unknown"
    var cancelRequestedAtMillis: Double? = null

    /** When the cancellation was confirmed to the user. */
    var cancelledAtMillis: Double? = null
    var lastAnswerAtMillis = 0.0
    val doneTasks = HashSet<Int>()
    val finished get() = status == "done" || status == "aborted"

    /** When the last of the job's tasks ended. */
    var completedAtMillis: Double? = null
    var firstStartAtMillis: Double? = null

    /** When the final answer came; before that, when the latest one did. */
    var finishedAtMillis = 0.0

    /** Since when some of the job has waited without a start although a machine has capacity within the team's limit. */
    var waitingSinceMillis: Double? = null
}
