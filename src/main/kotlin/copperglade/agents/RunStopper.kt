package copperglade.agents

import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.StopReason

/**
 * Stops runs. A run that may be on a machine counts as running there until the machine's worker has confirmed its end, so that a task
 * never runs on two machines at once.
 */
class RunStopper(private val lifecycle: RunLifecycle, private val commands: WorkerCommands) {
    /**
     * Stops [run] for [reason]. A waiting run is returned to the leader at once. If the run is already stopping, a final [reason] replaces
     * the former one: a cancelled straggler must not be started again.
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
