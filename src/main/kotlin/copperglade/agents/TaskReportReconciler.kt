package copperglade.agents

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.ExitCause
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.safety.ActionGuard
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import copperglade.transport.Clock

/**
 * Updates a shard's runs from the tasks that the workers report.
 *
 * Invariant: only heartbeats of fenced machines are used, since on other machines a former owner's commands may still take effect.
 * Guards against a task that is considered ended, and is started again, while it still runs.
 */
class TaskReportReconciler(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val stopper: RunStopper,
    private val commands: WorkerCommands,
    private val exitHandler: TaskExitHandler,
    private val types: MachineTypeCatalog,
    private val guard: ActionGuard,
    private val clock: Clock,
) {
    /** Updates the runs from the report of the fenced [machine]'s worker, and sends the worker the commands that are due. */
    fun reconcile(machine: Machine) {
        val found = machine.reportedTasks.mapNotNull { bindMissingRun(machine, it) }
        // Only once all of the machine's tasks are bound: a stop is sent at once, along with the stops of all unknown tasks.
        found.filter { guard.isCancelled(it.task.job) }.forEach { stopper.stop(it, StopReason.CANCELLED) }
        for (run in machine.runs.toList()) {
            val reported = machine.reportedTask(run.task, run.attempt)
            if (reported != null) onReported(run, machine, reported) else onNotReported(run, machine)
        }
        commands.sendDue(machine)
    }

    /** Binds a missing run to the machine on which a former owner started it. Returns the run, or null if none was bound. */
    private fun bindMissingRun(machine: Machine, reported: ReportedTask): Run? {
        val run = state.runs[reported.task]?.takeIf { it.state == RunState.MISSING } ?: return null
        if (reported.state == ReportedTaskState.EXITED && reported.cause != ExitCause.DONE) return null
        run.bind(machine, reported.attempt)
        run.foundAt = clock.now()
        run.confirmedByWorker = true
        lifecycle.transition(run, RunState.STARTING, "found on ${machine.name}")
        return run
    }

    private fun onReported(run: Run, machine: Machine, reported: ReportedTask) {
        run.confirmedByWorker = true
        val stopping = run.state == RunState.STOPPING
        when (reported.state) {
            ReportedTaskState.FETCHING, ReportedTaskState.WAITING ->
                if (!stopping) lifecycle.transition(run, RunState.FETCHING, "reported")
            ReportedTaskState.RUNNING -> {
                types[machine.typeName]?.let { machine.imageCache.recordUse(run.spec.image, it.imageCacheGb) }
                if (!stopping) lifecycle.transition(run, RunState.RUNNING, "reported")
            }
            ReportedTaskState.CHECKPOINTING -> Unit
            ReportedTaskState.EXITED -> exitHandler.onExit(run, machine, reported.cause ?: ExitCause.OTHER)
        }
    }

    /**
     * Handles an accepted heartbeat of [machine] that doesn't report [run], which is bound to the machine. A run that was reported before
     * has been lost in a restart of the worker. It stays bound while its start may still take effect.
     */
    private fun onNotReported(run: Run, machine: Machine) {
        val mayStillStart = machine.channel.startMayTakeEffect(run.task, run.attempt, clock.now())
        when {
            run.confirmedByWorker && mayStillStart -> lifecycle.restartAttempt(run)
            run.confirmedByWorker -> lifecycle.release(run, "no longer reported")
            run.state == RunState.STOPPING && !mayStillStart -> lifecycle.release(run, "start had no effect")
        }
    }
}
