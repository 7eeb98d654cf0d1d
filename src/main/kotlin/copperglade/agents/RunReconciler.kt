package copperglade.agents

import copperglade.observability.ActionAudit
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.TaskId
import copperglade.storage.Assignment
import copperglade.storage.Job
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import copperglade.transport.Clock

/**
 * Keeps a shard's runs in line with the records: one run for each of the shard's assignments, and no others.
 *
 * Invariant: a task that was assigned before the grant is [RunState.MISSING] until no worker can hold it any more, since a former
 * owner may have started it.
 */
class RunReconciler(
    private val state: ShardState,
    private val stopper: RunStopper,
    private val backoff: RetryBackoff,
    private val audit: ActionAudit,
    private val clock: Clock,
) {
    private val runs = state.runs

    /** Brings the runs of [job] in line with its records; no effect before the shard is open. */
    fun reconcile(job: Job) {
        if (!state.isOpen) return
        val live = job.live
        val spec = job.spec
        if (live == null || spec == null) {
            removeJob(job.id)
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
        runs.ofJob(job.id).filter { it.task.index !in assigned }.forEach(::removeRun)
    }

    /** The run that follows [assignment]. One that was returned to the leader is replaced once its task is assigned here again. */
    private fun runFor(job: Job, spec: JobSpec, acceptedAtMillis: Long, assignment: Assignment): Run {
        val task = TaskId(job.id, assignment.task)
        val known = runs[task]
        val assignedAgain = known != null && known.generation != assignment.generation && known.state == RunState.GONE
        if (known != null && !assignedAgain) return known
        val initialState = if (state.isOwnToken(assignment.fencingToken)) RunState.WAITING else RunState.MISSING
        val newRun = Run(task, spec, assignment.generation, acceptedAtMillis, initialState, clock.now(), runs::onStateChanged)
        newRun.restarted = job.wasRestarted(assignment.task)
        runs.add(newRun)
        return newRun
    }

    /** Removes the runs of [job], which has ended or is no longer known. */
    fun removeJob(job: JobId) {
        runs.ofJob(job).forEach(::removeRun)
        backoff.remove(job)
    }

    /** The outcome is recorded; whatever the machine's worker still reports of the task is removed as an unknown task. */
    private fun removeRun(run: Run) {
        audit.recordDroppedRun(run.task, run.state.name, run.machine?.name, run.occupiesMachine)
        run.unbind()
        runs.remove(run)
    }
}
