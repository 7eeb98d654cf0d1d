package copperglade.observability

import copperglade.membership.Membership
import copperglade.protocol.Command
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
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

    /** Starts logging the counts at regular intervals. */
    fun start() = loop.scheduleRepeating({ INTERVAL }, ::logCounts)

    /** Records that [commands] are sent to [machine] under [token], by [channel]: directly or in the answer to a heartbeat. */
    fun recordCommands(machine: MachineName, token: FencingToken, commands: List<Command>, channel: String) {
        for (command in commands) {
            val event = when (command) {
                is Command.Start -> "start_sent"
                is Command.Stop -> "stop_sent"
                is Command.Remove -> "remove_sent"
                is Command.RequestHeartbeat -> "heartbeat_requested"
            }
            count(event)
            if (!log.isDebugEnabled) continue
            log.debug(
                "{} task={} attempt={} machine={} fencing_token={} channel={} {}",
                event,
                command.task,
                command.attempt,
                machine,
                token,
                channel,
                jobContext(command.task.job),
            )
        }
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
        val log = LoggerFactory.getLogger("audit")
    }
}
