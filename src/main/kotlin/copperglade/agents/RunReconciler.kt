package copperglade.agents

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.storage.Assignment
import copperglade.storage.Job
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason

/**
 * Keeps a shard's runs in line with the records: a run for each of the shard's assignments, and none beside them.
 *
 * Invariant: a task that was assigned before our grant counts as [RunState.MISSING] until no worker can hold it any more;
 * a former owner may have started it.
 */
class RunReconciler(
    private val state: ShardState,
    private val stopper: RunStopper,
    private val backoff: RetryBackoff,
) {
    private val context = state.context
    private val runs = state.runs

    /** By then, every worker that only a former owner answered has lost its lease. */
    private val formerLeasesOverAt: MonotonicTime
        get() = maxOf(state.grantedAt, context.formerIncarnations.allStoppedAt) + context.maxLease

    /** Brings the runs of a job in line with its records. */
    fun sync(job: Job) {
        if (!state.open) return
        val live = job.live
        val spec = job.spec
        if (live == null || spec == null) {
            drop(job.id)
            return
        }
        val assigned = HashSet<Int>()
        for (assignment in job.assignments()) {
            if (assignment.shard != state.name) continue
            assigned += assignment.task
            val run = runFor(job, spec, live.value.acceptedAtMillis, assignment)
            run.updateSpec(spec)
            if (assignment.preemptedForGuarantee) stopper.stop(run, StopReason.PREEMPTED_FOR_GUARANTEE)
            if (job.cancelled) stopper.stop(run, StopReason.CANCELLED)
        }
        runs.of(job.id).filter { it.task.index !in assigned }.forEach(::forget)
    }

    /** The run that follows [assignment]. One that was given back is replaced once its task is assigned here anew. */
    private fun runFor(job: Job, spec: JobSpec, acceptedAtMs: Long, assignment: Assignment): Run {
        val task = TaskId(job.id, assignment.task)
        val known = runs[task]
        val assignedAnew = known != null && known.generation != assignment.generation && known.state == RunState.GONE
        if (known != null && !assignedAnew) return known
        val first = if (state.isOwnToken(assignment.fencingToken)) RunState.WAITING else RunState.MISSING
        val newRun = Run(task, spec, assignment.generation, acceptedAtMs, first, context.loop.now(), runs::onStateChanged)
        newRun.restarted = job.wasRestarted(assignment.task)
        runs.add(newRun)
        return newRun
    }

    /** The job is over, or nothing is known of it any more. */
    fun drop(job: JobId) {
        runs.of(job).forEach(::forget)
        backoff.forget(job)
    }

    /** The record of its outcome stands; whatever its machine still reports of it is removed as an unknown task. */
    private fun forget(run: Run) {
        context.audit.recordDroppedRun(run.task, run.state.name, run.machine?.name, run.occupiesMachine)
        run.unbind()
        runs.remove(run)
    }

    /**
     * Lets tasks that no worker reports be started, once every worker that could hold one has been heard under our token
     * or has lost its lease. The cloud's list of machines can't shorten the wait: it lags.
     */
    fun releaseMissing(now: MonotonicTime) {
        val missing = runs.missing
        if (missing.isEmpty() || now < formerLeasesOverAt) return
        if (state.machines.values.any { !state.isFenced(it) && !it.startedUnderCurrentOwner }) return
        for (run in missing) {
            run.transitionTo(RunState.WAITING, "on no worker", now)
            if (context.guard.isCancelled(run.task.job)) stopper.stop(run, StopReason.CANCELLED)
        }
    }
}
