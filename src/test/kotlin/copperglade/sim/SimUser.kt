package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec

/**
 * The user of one job: the submission, the answers of the controllers, and the simulated times of both.
 *
 * @param requestedAtMillis when the user decided to submit the job; the first request may be later.
 * @param workSeconds returns the run time of the task with the given index; null if the task runs until it is stopped.
 */
class SimUser(val spec: JobSpec, val dependencies: List<JobId>, val requestedAtMillis: Double, val workSeconds: (Int) -> Double?) {
    /** When the acceptance was confirmed to the user; null before. */
    var acceptedAtMillis: Double? = null

    /** The HTTP status of the answer that confirmed the acceptance; 0 before. */
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

    /** When the last of the job's tasks was done; null before. */
    var completedAtMillis: Double? = null
    var firstStartAtMillis: Double? = null

    /** When the first answer with a final status arrived; before that, when the latest answer did. */
    var finishedAtMillis = 0.0

    /** Since when a task of the job has waited although a machine has capacity for it within the team's limit; null if none does. */
    var waitingSinceMillis: Double? = null
}
