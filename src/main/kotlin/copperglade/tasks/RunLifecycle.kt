package copperglade.tasks

import copperglade.observability.ActionAudit
import copperglade.transport.Clock

/**
 * Carries out the state transitions of a shard's runs. A run that leaves its machine is done, is returned to the leader, or waits to be
 * started again.
 *
 * Invariant: a run becomes [RunState.WAITING] or [RunState.GONE] only when its task is confirmed absent from all machines. Guards
 * against two executions of a task at the same time.
 */
class RunLifecycle(private val clock: Clock, private val outcomes: OutcomeWriter, private val audit: ActionAudit) {
    /** Moves [run] to the state [next] as of now; no effect if the run is already in that state. */
    fun transition(run: Run, next: RunState, reason: String) = run.transitionTo(next, reason, clock.now())

    /** Schedules another start of [run]'s attempt on its machine, whose worker has restarted. */
    fun restartAttempt(run: Run) = run.restartAttempt(clock.now())

    /** Ends [run] with [outcome], either [RunState.DONE] or [RunState.GONE], and adds the outcome to the next batch of records. */
    fun finish(run: Run, outcome: RunState, reason: String) {
        transition(run, outcome, reason)
        if (outcome == RunState.GONE) run.unbind()
        outcomes.record(run)
    }

    /**
     * Releases [run], whose task is confirmed absent from all machines, from its machine. The run waits to be started again, or is
     * returned to the leader if it was stopped for a reason other than a straggler restart. No effect on a run that has ended.
     */
    fun release(run: Run, reason: String) {
        if (run.state == RunState.DONE || run.state == RunState.GONE) return
        run.machine?.let { audit.recordRelease(run.task, run.attempt, it.name, it.epoch, reason) }
        run.unbind()
        when (val stopReason = run.stopReason) {
            null, StopReason.RESTARTED -> {
                run.stopReason = null
                transition(run, RunState.WAITING, reason)
            }
            StopReason.CANCELLED, StopReason.PREEMPTED_FOR_GUARANTEE, StopReason.PREEMPTED ->
                finish(run, RunState.GONE, "$reason, $stopReason")
        }
    }
}
