package copperglade.agents

import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason

/**
 * Stops runs. A run that may be on a machine counts as there until its worker has confirmed that it has ended, so that its
 * task is never started elsewhere beside it.
 */
class RunStopper(private val state: ShardState, private val lifecycle: RunLifecycle, private val commands: WorkerCommands) {
    /**
     * Stops [run] for [reason], or gives it back at once where it is on no machine. A run that is stopping already takes
     * up a reason that is final: a straggler that is cancelled must not be started again.
     */
    fun stop(run: Run, reason: StopReason) {
        when (run.state) {
            RunState.WAITING -> {
                run.stopFor(reason)
                lifecycle.finish(run, RunState.GONE, "not started: $reason")
            }
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING -> {
                run.stopFor(reason)
                run.transitionTo(RunState.STOPPING, reason.name, state.context.loop.now())
                run.machine?.let(commands::sendDue)
            }
            RunState.STOPPING -> if (reason == StopReason.CANCELLED || reason == StopReason.PREEMPTED_FOR_GUARANTEE) run.stopFor(reason)
            RunState.MISSING, RunState.DONE, RunState.GONE -> Unit
        }
    }
}
