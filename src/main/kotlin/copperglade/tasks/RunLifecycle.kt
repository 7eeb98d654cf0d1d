package copperglade.tasks

import copperglade.transport.Clock

/**
 * The state transitions of a shard's runs, and how a run leaves its machine: it is done, is returned to the leader, or waits
 * to be started again.
 *
 * Invariant: a run becomes [RunState.WAITING] or [RunState.GONE] only when its task is certainly on no machine. Guards against
 * a task that runs twice at the same time.
 */
class RunLifecycle(private val clock: Clock, private val outcomes: OutcomeWriter) {
    /** Moves [run] to the state [next] as of now; no effect where it is in that state already. */
    fun transition(run: Run, next: RunState, reason: String) = run.transitionTo(next, reason, clock.now())

    /** Ends [run] as [RunState.DONE] or [RunState.GONE], and has that recorded. */
    fun finish(run: Run, outcome: RunState, reason: String) {
        transition(run, outcome, reason)
        if (outcome == RunState.GONE) run.unbind()
        outcomes.record(run)
    }

    /**
     * Releases [run], which is certainly on no machine any more, from the one it was bound to. It waits to be started again,
     * unless it was stopped for a reason other than a straggler restart: then it is returned to the leader. A run that has
     * ended already is left as it is.
     */
    fun release(run: Run, reason: String) {
        if (run.state == RunState.DONE || run.state == RunState.GONE) return
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
