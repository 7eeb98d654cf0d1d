package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MonotonicTime
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a task waits before it is started again: twice as long after each of its failures, up to a limit. Of a failing job
 * ([FailingJobs]) all failures count together, since its tasks are tried in turn.
 *
 * Guards against tasks that fail at once and would keep machines and workers busy with nothing but starts.
 */
class RetryBackoff {
    private class FailureHistory {
        var failures = 0
        var nextStartAt = MonotonicTime.NEVER
    }

    private val historyByJob = HashMap<JobId, FailureHistory>()

    /** The pause before the next start of a task that has failed [failures] times. */
    fun delayAfterFailures(
        failures: Int,
    ): Duration = min(INITIAL_DELAY_SECONDS * (1 shl min(failures, MAX_DOUBLINGS)), MAX_DELAY_SECONDS).seconds

    /** The pause after a machine has refused a start: that says nothing of the task. */
    fun delayAfterRefusal(): Duration = delayAfterFailures(1)

    /** A task of the failing job [job] has failed once more. */
    fun recordFailure(job: JobId, now: MonotonicTime) {
        val history = historyByJob.getOrPut(job) { FailureHistory() }
        history.failures++
        history.nextStartAt = now + delayAfterFailures(history.failures)
    }

    /** Whether a task of the failing job [job] may be tried again. */
    fun mayRetry(job: JobId, now: MonotonicTime): Boolean = historyByJob[job]?.let { now >= it.nextStartAt } ?: true

    /** The job is over or no longer here. */
    fun forget(job: JobId) {
        historyByJob.remove(job)
    }

    private companion object {
        const val INITIAL_DELAY_SECONDS = 1.0
        const val MAX_DOUBLINGS = 6
        const val MAX_DELAY_SECONDS = 60.0
    }
}
