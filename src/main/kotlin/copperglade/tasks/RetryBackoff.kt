package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MonotonicTime
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential backoff: how long a task waits before it is started again, doubling with each of its failures up to a limit. For a
 * failing job ([FailingJobs]) the failures of all its tasks count together, since its tasks are tried in turn.
 *
 * Guards against tasks that fail at once and would otherwise keep machines and workers busy with nothing but starts.
 */
class RetryBackoff {
    private class FailureHistory {
        var failures = 0
        var nextStartAt = MonotonicTime.NEVER
    }

    private val historyByJob = HashMap<JobId, FailureHistory>()

    /** The delay before the next start of a task that has failed [failures] times. */
    fun delayAfterFailures(failures: Int): Duration =
        min(INITIAL_DELAY_SECONDS * (1 shl min(failures, MAX_DOUBLINGS)), MAX_DELAY_SECONDS).seconds

    /** The delay after a machine has refused a start, which says nothing about the task. */
    fun delayAfterRefusal(): Duration = delayAfterFailures(1)

    /** Records that a task of the failing job [job] has failed once more. */
    fun recordFailure(job: JobId, now: MonotonicTime) {
        val history = historyByJob.getOrPut(job) { FailureHistory() }
        history.failures++
        history.nextStartAt = now + delayAfterFailures(history.failures)
    }

    /** Whether a task of the failing job [job] may be tried again. */
    fun mayRetry(job: JobId, now: MonotonicTime): Boolean = historyByJob[job]?.let { now >= it.nextStartAt } ?: true

    /** Drops the history of [job], which has ended or left the shard. */
    fun remove(job: JobId) {
        historyByJob.remove(job)
    }

    private companion object {
        const val INITIAL_DELAY_SECONDS = 1.0
        const val MAX_DOUBLINGS = 6
        const val MAX_DELAY_SECONDS = 60.0
    }
}
