package copperglade.agents

import copperglade.membership.FormerIncarnations
import copperglade.protocol.MonotonicTime
import copperglade.safety.ActionGuard
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason

/**
 * Lets missing runs start once no worker can hold them any more.
 *
 * Guards against a task that runs twice, because a former owner started it on a machine that has not been heard from yet.
 */
class MissingRunRelease(
    private val state: ShardState,
    private val stopper: RunStopper,
    private val guard: ActionGuard,
    private val formerIncarnations: FormerIncarnations,
    private val timeouts: HeartbeatTimeouts,
) {
    /** By then, every worker that only a former owner acknowledged has lost its lease. */
    private val formerLeasesExpiredAt: MonotonicTime
        get() = maxOf(state.grantedAt, formerIncarnations.allStoppedAt) + timeouts.maxLease

    /**
     * Releases missing runs if every worker that could hold one has shown a token of this owner or has lost its lease. The cloud's list
     * of machines can't shorten the wait, since it lags.
     */
    fun releaseDue(now: MonotonicTime) {
        val missing = state.runs.missing
        if (missing.isEmpty() || now < formerLeasesExpiredAt) return
        if (state.machines.values.any { !state.isFenced(it) && !it.startedUnderCurrentOwner }) return
        for (run in missing) {
            run.transitionTo(RunState.WAITING, "on no worker", now)
            if (guard.isCancelled(run.task.job)) stopper.stop(run, StopReason.CANCELLED)
        }
    }
}
