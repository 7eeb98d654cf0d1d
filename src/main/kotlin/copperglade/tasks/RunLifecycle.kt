package copperglade.tasks

/**
 * How a run leaves its machine: it is done, is given back to the leader, or waits to be started again.
 *
 * Invariant: a run becomes [RunState.WAITING] or [RunState.GONE] only when its task is certainly on no machine. This
 * guards against a task that runs twice.
 */
class RunLifecycle(private val state: ShardState, private val outcomes: OutcomeLog) {
    private val loop = state.context.loop

    /** Ends [run] as [RunState.DONE] or [RunState.GONE], and has that recorded. */
    fun finish(run: Run, outcome: RunState, why: String) {
        run.transitionTo(outcome, why, loop.now())
        if (outcome == RunState.GONE) run.unbind()
        outcomes.record(run)
    }

    /**
     * Takes note that [run] is certainly on no machine any more. It waits to be started again, unless it was stopped for
     * a reason other than a straggler's restart: then it is given back to the leader.
     */
    fun lost(run: Run, why: String) {
        val reason = run.stopReason
        if (run.state == RunState.DONE || run.state == RunState.GONE) return
        run.unbind()
        when (reason) {
            null, StopReason.RESTARTED -> {
                run.clearStop()
                run.transitionTo(RunState.WAITING, why, loop.now())
            }
            else -> finish(run, RunState.GONE, "$why, $reason")
        }
    }
}
