package copperglade.coordination

import copperglade.protocol.JobId
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a task waits before it is started again: twice as long after each failure of its job, up to a limit. Guards
 * against a job whose tasks fail at once and would keep machines and workers busy with nothing but starts.
 */
class RetryBackoff {
    private val failures = HashMap<JobId, Int>()

    /** Counts a failure of one of [job]'s tasks; the pause before that task's next start. */
    fun afterFailure(job: JobId): Duration = pause(failures.merge(job, 1, Int::plus) ?: 1)

    /** The pause after a machine has refused a start: that says nothing of the job, so it isn't counted. */
    fun afterRefusal(): Duration = pause(1)

    /** The job is over or no longer here. */
    fun forget(job: JobId) {
        failures.remove(job)
    }

    private fun pause(times: Int): Duration = min(FIRST_S * (1 shl min(times, MOST_DOUBLINGS)), LONGEST_S).seconds

    private companion object {
        const val FIRST_S = 1.0
        const val MOST_DOUBLINGS = 6
        const val LONGEST_S = 60.0
    }
}
