package copperglade.agents

import copperglade.prediction.TaskFactors
import copperglade.prediction.TaskProfile
import copperglade.protocol.ExitCause
import copperglade.protocol.JobKind
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.tasks.Machine
import copperglade.tasks.OutcomeLog
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * Follows from reports what becomes of the tasks on a machine.
 *
 * Invariant: only reports of a fenced machine are taken, since on others a former owner's commands may still act. Guards
 * against a task that is taken for ended and started again while it runs.
 */
class TaskObserver(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val stopper: RunStopper,
    private val commands: WorkerCommands,
    private val outcomes: OutcomeLog,
    private val backoff: RetryBackoff,
) {
    private val context = state.context
    private val loop = context.loop

    /** Brings the runs in line with what a fenced machine reports, and sends it what follows from that. */
    fun match(machine: Machine) {
        for (reported in machine.reportedTasks) adopt(machine, reported)
        for (run in machine.runs.toList()) {
            val reported = machine.reportedTask(run.task, run.attempt)
            if (reported != null) observe(run, machine, reported) else absent(run, machine)
        }
        commands.sendDue(machine)
    }

    /** Binds a missing run to the machine on which a former owner started it. */
    private fun adopt(machine: Machine, reported: ReportedTask) {
        val run = state.runs[reported.task] ?: return
        if (run.state != RunState.MISSING) return
        if (reported.state == ReportedTaskState.EXITED && reported.cause != ExitCause.DONE) return
        run.bind(machine, reported.attempt)
        run.confirmedByWorker = true
        run.transitionTo(RunState.STARTING, "found on ${machine.name}", loop.now())
        if (context.guard.isCancelled(reported.task.job)) stopper.stop(run, StopReason.CANCELLED)
    }

    private fun observe(run: Run, machine: Machine, reported: ReportedTask) {
        run.confirmedByWorker = true
        val stopping = run.state == RunState.STOPPING
        when (reported.state) {
            ReportedTaskState.FETCHING, ReportedTaskState.WAITING -> if (!stopping) {
                run.transitionTo(
                    RunState.FETCHING,
                    "reported",
                    loop.now(),
                )
            }
            ReportedTaskState.RUNNING -> {
                context.types[machine.typeName]?.let { machine.recordImageUse(run.spec.image, it.imageCacheGb) }
                if (!stopping) run.transitionTo(RunState.RUNNING, "reported", loop.now())
            }
            ReportedTaskState.CHECKPOINTING -> Unit
            ReportedTaskState.EXITED -> exited(run, machine, reported.cause ?: ExitCause.OTHER)
        }
    }

    private fun exited(run: Run, machine: Machine, cause: ExitCause) {
        when (cause) {
            ExitCause.DONE -> {
                recordProfile(run, machine)
                context.failureEvidence.completed(run.task.job, machine.name)
                lifecycle.finish(run, RunState.DONE, "completed")
            }
            ExitCause.ERROR -> failed(run, machine)
            ExitCause.STOPPED -> lifecycle.lost(run, "stopped")
            ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN_JOB, ExitCause.OTHER -> {
                log.info("{} refused by {}: {}", run.task, machine.name, cause)
                tryElsewhere(run, machine, backoff.delayAfterRefusal())
            }
        }
    }

    private fun failed(run: Run, machine: Machine) {
        log.info("{} failed on {}", run.task, machine.name)
        val job = run.task.job
        run.failures++
        // What another owner has found out about the job holds for this one's machines, too.
        if (context.replica.jobs[job]?.failing != true) context.failureEvidence.failed(job, machine.name, loop.now())
        if (job in context.failingJobs) {
            backoff.recordFailure(job, loop.now())
            outcomes.recordFailingJob(run)
        }
        tryElsewhere(run, machine, backoff.delayAfterFailures(run.failures))
    }

    /** Lets [run] start again after [pause], on another machine; once half of the shard has been tried, anywhere. */
    private fun tryElsewhere(run: Run, machine: Machine, pause: Duration) {
        if (run.avoidedMachines.size * 2 >= state.machines.size) run.avoidedMachines.clear()
        run.avoidedMachines += machine.name
        run.earliestStartAt = loop.now() + pause
        lifecycle.lost(run, "failed")
    }

    /** Remembers how long a completed array task ran, for later predictions. */
    private fun recordProfile(run: Run, machine: Machine) {
        val began = run.runningSince ?: return
        val seconds = (loop.now().ms - began.ms) / MILLIS_PER_SECOND
        if (run.spec.kind != JobKind.ARRAY || run.state != RunState.RUNNING) return
        run.stragglerRunSeconds?.let {
            log.info("straggler {} done on {}: ran {} s here, {} s before", run.task, machine.name, seconds, it)
        }
        context.profiles.record(TaskProfile(machine.name, factors(run, machine), seconds))
    }

    private fun factors(run: Run, machine: Machine) =
        TaskFactors(run.task.job, run.spec.load, machine.typeName, run.spec.request, machine.runs.size)

    /** A run that a newer report does not show. */
    private fun absent(run: Run, machine: Machine) {
        when {
            run.confirmedByWorker -> lifecycle.lost(run, "no longer reported")
            run.state != RunState.STOPPING -> Unit
            // The start was answered or never sent, and the worker does not have it.
            !machine.commandInFlight && !machine.hasUnresolvedStart(run.task, run.attempt) -> lifecycle.lost(run, "never arrived")
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        val log = LoggerFactory.getLogger("owner")
    }
}
