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
    private class Trials {
        var failures = 0
        var nextAt = MonotonicTime.NEVER
    }

    private val trialsByJob = HashMap<JobId, Trials>()

    /** The pause before the next start of a task that has failed [failures] times. */
    fun afterFailure(failures: Int): Duration = min(FIRST_S * (1 shl min(failures, MAX_DOUBLINGS)), MAX_S).seconds

    /** The pause after a machine has refused a start: that says nothing of the task. */
    fun afterRefusal(): Duration = afterFailure(1)

    /** A task of the failing job [job] has failed once more. */
    fun trialFailed(job: JobId, now: MonotonicTime) {
        val trials = trialsByJob.getOrPut(job) { Trials() }
        trials.failures++
        trials.nextAt = now + afterFailure(trials.failures)
    }

    /** Whether a task of the failing job [job] may be tried again. */
    fun mayTry(job: JobId, now: MonotonicTime): Boolean = trialsByJob[job]?.let { now >= it.nextAt } ?: true

    /** The job is over or no longer here. */
    fun forget(job: JobId) {
        trialsByJob.remove(job)
    }

    private companion object {
        const val FIRST_S = 1.0
        const val MAX_DOUBLINGS = 6
        const val MAX_S = 60.0
    }
}
