package copperglade.placement

import copperglade.membership.Membership
import copperglade.observability.ActionAudit
import copperglade.protocol.MonotonicTime
import copperglade.safety.ActionGuard
import copperglade.tasks.FailingJobs
import copperglade.tasks.Machine
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunTable
import copperglade.transport.Clock

/** Decides which of a shard's waiting runs may be started now, and which machines each run must avoid. */
class StartEligibility(
    private val runs: RunTable,
    private val membership: Membership,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
    private val failingJobs: FailingJobs,
    private val backoff: RetryBackoff,
    private val clock: Clock,
) {
    /** Whether this controller may start tasks at all now. */
    val mayStartAny: Boolean get() = membership.mayStartTasks

    /** Returns whether [run]'s job is failing. A failing job retries one task at a time, and no task is preempted for it. */
    fun isFailing(run: Run): Boolean = run.task.job in failingJobs

    /** Returns whether the retry delay of [run], the records and the failures of the run's job allow a start as of [now]. */
    fun mayStart(run: Run, now: MonotonicTime): Boolean {
        if (now < run.earliestStartAt || isRefused(run)) return false
        val job = run.task.job
        return job !in failingJobs || (backoff.mayRetry(job, now) && runs.ofJob(job).none { it.occupiesMachine })
    }

    /**
     * Returns whether the records forbid starting [run]. The leader that assigned the task may have read older records than this
     * controller, or may run a version without support for dependencies between jobs.
     */
    private fun isRefused(run: Run): Boolean {
        val refusal = guard.refusalByRecords(run.task)
        if (refusal != null && refusal != run.lastRefusal) audit.recordRefusal(run.task, refusal)
        run.lastRefusal = refusal
        return refusal != null
    }

    /**
     * Returns whether [run] must avoid [machine] because the run's job has just failed there. A job with completed tasks avoids no
     * machine as a whole: each of its failing tasks avoids machines separately.
     */
    fun mustAvoid(run: Run, machine: Machine): Boolean {
        val job = run.task.job
        return failingJobs.neverCompleted(job) && failingJobs.failedRecentlyOn(job, machine.name, clock.now())
    }
}
