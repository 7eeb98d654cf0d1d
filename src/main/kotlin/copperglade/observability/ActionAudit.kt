package copperglade.observability

import copperglade.membership.Membership
import copperglade.protocol.Attempt
import copperglade.protocol.Command
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.ReportedTask
import copperglade.protocol.TaskId
import copperglade.safety.InvariantViolations
import copperglade.safety.Refusal
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.TreeMap
import kotlin.time.Duration.Companion.seconds

/**
 * Records each action of this controller together with its basis: the fencing token, the age of the records, the remaining duration of
 * the authority to act, and the state of the job and its dependencies.
 *
 * Each action is logged at `debug`; the counts of actions are logged at `info` once a minute.
 */
class ActionAudit(
    private val loop: EventLoop,
    private val replica: Replica,
    private val membership: Membership,
    private val violations: InvariantViolations,
) {
    private val counts = TreeMap<String, Int>()
    private val history = TaskActionHistory()
    private val exits = TaskExitCounts(loop)

    /** The unknown tasks that were logged last. */
    private val loggedUnknownTasks = LinkedHashSet<UnknownTask>()

    private data class UnknownTask(val machine: MachineName, val task: TaskId, val attempt: Attempt)

    /** Starts logging the counts at regular intervals. */
    fun start() {
        loop.scheduleRepeating({ INTERVAL }, ::logCounts)
        exits.start()
    }

    /**
     * Records that [commands] are sent to [machine] under [token], by [channel]: directly or in the answer to a heartbeat. [epoch] is the
     * worker's agent epoch as far as this controller knows it.
     */
    fun recordCommands(machine: MachineName, epoch: Long, token: FencingToken, commands: List<Command>, channel: String) {
        for (command in commands) {
            val event = when (command) {
                is Command.Start -> "start_sent"
                is Command.Stop -> "stop_sent"
                is Command.Remove -> "remove_sent"
                is Command.RequestHeartbeat -> "heartbeat_requested"
            }
            count(event)
            history.record(TaskAction(loop.now(), event, command.task, command.attempt, machine, epoch, "channel=$channel"))
            if (!log.isDebugEnabled) continue
            log.debug(
                "{} task={} attempt={} machine={} epoch={} fencing_token={} channel={} {}",
                event,
                command.task,
                command.attempt,
                machine,
                epoch,
                token,
                channel,
                jobContext(command.task.job),
            )
        }
    }

    /** Records that [attempt] at [task] is taken for gone from [machine] for [reason], so that the task may be started again elsewhere. */
    fun recordRelease(task: TaskId, attempt: Attempt, machine: MachineName, epoch: Long, reason: String) {
        count("run_released")
        history.record(TaskAction(loop.now(), "run_released", task, attempt, machine, epoch, "reason=\"$reason\""))
        if (!log.isDebugEnabled) return
        log.debug(
            "run_released task={} attempt={} machine={} epoch={} reason=\"{}\" {}",
            task,
            attempt,
            machine,
            epoch,
            reason,
            jobContext(task.job),
        )
    }

    /** Counts that a task has exited for [cause]. */
    fun recordExit(cause: String) = exits.record(cause)

    /**
     * Records that [machine]'s worker reports [reported], which is not assigned to the machine, as not exited. Each is logged once, with
     * what this controller has done about the task lately.
     */
    fun recordUnknownTask(machine: MachineName, epoch: Long, reported: ReportedTask) {
        if (!loggedUnknownTasks.add(UnknownTask(machine, reported.task, reported.attempt))) return
        if (loggedUnknownTasks.size > MAX_LOGGED_UNKNOWN_TASKS) loggedUnknownTasks.remove(loggedUnknownTasks.first())
        count("unknown_task_found")
        val now = loop.now()
        log.info(
            "unknown_task_found task={} attempt={} machine={} epoch={} state={} {} history=[{}]",
            reported.task,
            reported.attempt,
            machine,
            epoch,
            reported.state,
            jobContext(reported.task.job),
            history.of(reported.task).joinToString(" ") { it.describe(now) },
        )
    }

    /** Records a 200 answer to a heartbeat of [machine], which renews the worker's lease and has [stops] stop commands. */
    fun recordHeartbeatReply(machine: MachineName, token: FencingToken, stops: Int) {
        count("heartbeat_answered")
        if (log.isDebugEnabled) {
            log.debug("heartbeat_answered machine={} fencing_token={} stops={} {}", machine, token, stops, authorityContext())
        }
    }

    /**
     * Records that the shard owner no longer tracks [task], since the record says that the task has ended or is assigned elsewhere.
     *
     * @param state the last state of the task at the shard owner.
     * @param machine the machine that the task is on or was to be started on.
     * @param onMachine whether the task may be on that machine now, or may still start there.
     */
    fun recordDroppedRun(task: TaskId, state: String, machine: MachineName?, onMachine: Boolean) {
        count(if (onMachine) "run_dropped_on_machine" else "run_dropped")
        if (!log.isDebugEnabled) return
        log.debug("run_dropped task={} state={} machine={} on_machine={} {}", task, state, machine, onMachine, jobContext(task.job))
    }

    /** Records that the leader requests the end of [job] from the state service. */
    fun recordJobEnd(job: JobId) {
        count("job_end_requested")
        if (log.isDebugEnabled) log.debug("job_end_requested job={} {}", job, jobContext(job))
    }

    /** Records that a waiting task is not started, for a reason other than the last one recorded. */
    fun recordRefusal(task: TaskId, refusal: Refusal) {
        count("start_refused_${refusal.name.lowercase()}")
        if (log.isDebugEnabled) log.debug("start_refused task={} reason={} {}", task, refusal, jobContext(task.job))
    }

    private fun count(event: String) {
        counts.merge(event, 1, Int::plus)
    }

    private fun authorityContext(): String {
        val recordsAgeMillis = loop.now().millis - replica.snapshotTakenAt.millis
        return "records_age_ms=$recordsAgeMillis revision=${replica.knownRevision} " +
            "authority_ms=${membership.authorityRemainingMillis} replica=${replica.state}"
    }

    private fun jobContext(id: JobId): String {
        val job = replica.jobs[id]
        val state = when {
            job?.live == null -> replica.endRecordOf(id)?.status?.name ?: "UNKNOWN"
            job.cancelled -> "CANCELLED"
            job.dependencies.isEmpty() -> "NO_DEPENDENCIES"
            else -> job.dependencyState.name
        }
        return "job_state=$state job_revision=${job?.liveRevision()} ${authorityContext()}"
    }

    private fun logCounts() {
        val countsByEvent = counts.entries.joinToString(" ") { (event, count) -> "$event=$count" }
        log.info("action_counts violations={} {} {}", violations.total, authorityContext(), countsByEvent)
        counts.clear()
    }

    private companion object {
        val INTERVAL = 60.seconds
        const val MAX_LOGGED_UNKNOWN_TASKS = 4096
        val log = LoggerFactory.getLogger("audit")
    }
}
