package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MonotonicTime
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential backoff between starts of a task: the delay doubles with each failure of the task, up to a limit. For a failing job
 * ([FailingJobs]) the failures of all its tasks count together, since the tasks are tried one at a time.
 *
 * Guards against tasks that fail immediately and would otherwise occupy machines and workers with continual starts.
 */
class RetryBackoff {
    private class FailureHistory {
        var failures = 0
        var nextStartAt = MonotonicTime.NEVER
    }

    private val historyByJob = HashMap<JobId, FailureHistory>()

    /** Returns the delay before the next start of a task that has failed [failures] times. */
    fun delayAfterFailures(failures: Int): Duration =
        min(INITIAL_DELAY_SECONDS * (1 shl min(failures, MAX_DOUBLINGS)), MAX_DELAY_SECONDS).seconds

    /** Returns the delay after a worker has refused a start; a refusal is not a failure of the task. */
    fun delayAfterRefusal(): Duration = delayAfterFailures(1)

    /** Records that a task of the failing job [job] has failed again. */
    fun recordFailure(job: JobId, now: MonotonicTime) {
        val history = historyByJob.getOrPut(job) { FailureHistory() }
        history.failures++
        history.nextStartAt = now + delayAfterFailures(history.failures)
    }

    /** Whether a task of the failing job [job] may be tried again. */
    fun mayRetry(job: JobId, now: MonotonicTime): Boolean = historyByJob[job]?.let { now >= it.nextStartAt } ?: true

    /** Drops the history of [job], which has ended or is no longer assigned to the shard. */
    fun remove(job: JobId) {
        historyByJob.remove(job)
    }

    private companion object {
        const val INITIAL_DELAY_SECONDS = 1.0
        const val MAX_DOUBLINGS = 6
        const val MAX_DELAY_SECONDS = 60.0
    }
}
