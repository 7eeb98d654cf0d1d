package copperglade.agents

import copperglade.observability.ActionAudit
import copperglade.protocol.ExitCause
import copperglade.tasks.FailingJobs
import copperglade.tasks.Machine
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/** Handles the exit of a task: the task is done, is returned to the leader, or is started again, preferably on another machine. */
class TaskExitHandler(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val outcomes: OutcomeWriter,
    private val backoff: RetryBackoff,
    private val failingJobs: FailingJobs,
    private val profileRecorder: ProfileRecorder,
    private val audit: ActionAudit,
    private val clock: Clock,
) {
    /** Handles the report of [machine]'s worker that the task of [run] has exited for [cause]. */
    fun onExit(run: Run, machine: Machine, cause: ExitCause) {
        audit.recordExit(cause.name.lowercase())
        when (cause) {
            ExitCause.DONE -> {
                profileRecorder.record(run, machine)
                failingJobs.recordCompletion(run, machine.name)
                lifecycle.finish(run, RunState.DONE, "completed")
            }
            ExitCause.ERROR -> onFailure(run, machine)
            ExitCause.STOPPED -> lifecycle.release(run, "stopped")
            ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN_JOB, ExitCause.OTHER -> {
                log.debug("start_refused task={} machine={} cause={}", run.task, machine.name, cause)
                retryElsewhere(run, machine, backoff.delayAfterRefusal())
            }
        }
    }

    private fun onFailure(run: Run, machine: Machine) {
        log.debug("task_failed task={} attempt={} machine={}", run.task, run.attempt, machine.name)
        val job = run.task.job
        run.failures++
        if (!failingJobs.isRecorded(job)) failingJobs.recordFailure(run, machine.name, clock.now())
        if (job in failingJobs) {
            backoff.recordFailure(job, clock.now())
            outcomes.recordFailingJob(run)
        }
        retryElsewhere(run, machine, backoff.delayAfterFailures(run.failures))
    }

    /** Releases [run] to be started after [delay] on another machine, or on any machine once half of the shard's have been tried. */
    private fun retryElsewhere(run: Run, machine: Machine, delay: Duration) {
        if (run.avoidedMachines.size * 2 >= state.machines.size) run.avoidedMachines.clear()
        run.avoidedMachines += machine.name
        run.earliestStartAt = clock.now() + delay
        lifecycle.release(run, "failed")
    }

    private companion object {
        val log = LoggerFactory.getLogger("agents")
    }
}
