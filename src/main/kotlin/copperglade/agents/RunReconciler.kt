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
 * Keeps a shard's runs consistent with the records: exactly one run for each of the shard's assignments.
 *
 * Invariant: the run of a task that was assigned before the grant is [RunState.MISSING] until a worker reports the task, or the task is
 * confirmed absent from all workers, since a former owner may have started it.
 */
class RunReconciler(
    private val state: ShardState,
    private val stopper: RunStopper,
    private val backoff: RetryBackoff,
    private val audit: ActionAudit,
    private val clock: Clock,
) {
    private val runs = state.runs

    /** Updates the runs of [job] from its records; no effect unless the shard is open. */
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

    /** Returns the run of [assignment]. A run that was returned to the leader is replaced when its task is assigned here again. */
    private fun runFor(job: Job, spec: JobSpec, acceptedAtMillis: Long, assignment: Assignment): Run {
        val task = TaskId(job.id, assignment.task)
        val existing = runs[task]
        val assignedAgain = existing != null && existing.generation != assignment.generation && existing.state == RunState.GONE
        if (existing != null && !assignedAgain) return existing
        val initialState = if (assignment.fencingToken == state.fencingToken) RunState.WAITING else RunState.MISSING
        val newRun = Run(task, spec, assignment.generation, acceptedAtMillis, initialState, clock.now(), runs::onStateChanged)
        newRun.restarted = job.wasRestarted(assignment.task)
        runs.add(newRun)
        return newRun
    }

    /** Removes the runs of [job], which has ended or is no longer in the replica. */
    fun removeJob(job: JobId) {
        runs.ofJob(job).forEach(::removeRun)
        backoff.remove(job)
    }

    /** Removes [run], which has no assignment any more. If a worker still reports the task, it is handled as an unknown task. */
    private fun removeRun(run: Run) {
        audit.recordDroppedRun(run.task, run.state.name, run.machine?.name, run.occupiesMachine)
        run.unbind()
        runs.remove(run)
    }
}
