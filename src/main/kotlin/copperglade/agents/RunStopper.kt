package copperglade.agents

import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.StopReason

/**
 * Stops runs. A run that may be on a machine counts as there until its worker has confirmed that it has ended, so that its task
 * never runs in two places.
 */
class RunStopper(private val lifecycle: RunLifecycle, private val commands: WorkerCommands) {
    /**
     * Stops [run] for [reason], or returns it to the leader at once where it is on no machine. A run that is already stopping takes
     * over a reason that is final: a straggler that is cancelled must not be started again.
     */
    fun stop(run: Run, reason: StopReason) {
        when (run.state) {
            RunState.WAITING -> {
                run.stopReason = reason
                lifecycle.finish(run, RunState.GONE, "not started: $reason")
            }
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING -> {
                run.stopReason = reason
                lifecycle.transition(run, RunState.STOPPING, reason.name)
                run.machine?.let(commands::sendDue)
            }
            RunState.STOPPING -> if (reason.isFinal) run.stopReason = reason
            RunState.MISSING, RunState.DONE, RunState.GONE -> Unit
        }
    }
}
