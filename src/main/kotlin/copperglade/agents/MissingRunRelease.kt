package copperglade.agents

import copperglade.membership.FormerIncarnations
import copperglade.protocol.MonotonicTime
import copperglade.safety.ActionGuard
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason

/**
 * Releases missing runs to be started once their tasks are confirmed absent from all workers.
 *
 * Guards against two executions of a task, because a former owner started it on a machine that has not reported to this owner yet.
 */
class MissingRunRelease(
    private val state: ShardState,
    private val stopper: RunStopper,
    private val guard: ActionGuard,
    private val formerIncarnations: FormerIncarnations,
    private val timeouts: HeartbeatTimeouts,
) {
    /** The time by which the lease of every worker that only a former owner has acknowledged has expired. */
    private val formerLeasesExpiredAt: MonotonicTime
        get() = maxOf(state.grantedAt, formerIncarnations.allStoppedAt) + timeouts.maxLease

    /**
     * Releases missing runs if every worker that could execute one of them has reported a token of this owner, or its lease has expired.
     * The cloud's list of machines can't shorten the wait, since the list lags.
     */
    fun releaseDue(now: MonotonicTime) {
        val missing = state.runs.missing
        if (missing.isEmpty() || now < formerLeasesExpiredAt) return
        if (state.machines.values.any { !state.isFenced(it) && !it.startedUnderCurrentOwner }) return
        for (run in missing) {
            run.transitionTo(RunState.WAITING, "absent from all workers", now)
            if (guard.isCancelled(run.task.job)) stopper.stop(run, StopReason.CANCELLED)
        }
    }
}
