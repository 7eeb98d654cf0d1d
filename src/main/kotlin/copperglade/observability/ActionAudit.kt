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
 * Tells what was done and on what it rested: which token, how old the records were, how long the right to act would last, what the job
 * waited for. Each action is a line at `debug`; at `info` there are counts, once a minute. All in the form `key=value`.
 */
class ActionAudit(
    private val loop: EventLoop,
    private val replica: Replica,
    private val membership: Membership,
    private val violations: InvariantViolations,
) {
    private val counts = TreeMap<String, Int>()

    fun start() = loop.scheduleRepeating({ INTERVAL }, ::summarize)

    /** [commands] go out to [machine] under [token], directly or with an answer. */
    fun commanded(machine: MachineName, token: FencingToken, commands: List<Command>, way: String) {
        for (command in commands) {
            val action = when (command) {
                is Command.Start -> "start"
                is Command.Stop -> "stop"
                is Command.Remove -> "remove"
            }
            count(action)
            if (!log.isDebugEnabled) continue
            log.debug(
                "action={} task={} attempt={} machine={} token={} way={} {}",
                action,
                command.task,
                command.attempt,
                machine,
                token,
                way,
                basis(command.task.job),
            )
        }
    }

    /** A report of [machine] is answered with 200, which renews its lease. */
    fun answered(machine: MachineName, token: FencingToken, stops: Int) {
        count("answer")
        if (log.isDebugEnabled) log.debug("action=answer machine={} token={} stops={} {}", machine, token, stops, right())
    }

    /**
     * The shard no longer follows [task], since its record says that it is over or assigned elsewhere.
     *
     * @param state what its owner knew of it last.
     * @param machine the machine that it is on, or was to be started on.
     * @param onMachine whether it may be on that machine now, or come to be.
     */
    fun forgotten(task: TaskId, state: String, machine: MachineName?, onMachine: Boolean) {
        count(if (onMachine) "forget_on_machine" else "forget")
        if (!log.isDebugEnabled) return
        log.debug("action=forget task={} state={} machine={} {}", task, state, machine, basis(task.job))
    }

    /** The leader asks the state service to end [job]. */
    fun ended(job: JobId) {
        count("end")
        if (log.isDebugEnabled) log.debug("action=end job={} {}", job, basis(job))
    }

    /** A waiting task is not started, for another reason than before. */
    fun refused(task: TaskId, refusal: Refusal) {
        count("refused_${refusal.name.lowercase()}")
        if (log.isDebugEnabled) log.debug("action=refuse task={} refusal={} {}", task, refusal, basis(task.job))
    }

    private fun count(what: String) {
        counts.merge(what, 1, Int::plus)
    }

    private fun right() =
        "knowledge_ms=${loop.now().ms - replica.readTime.ms} revision=${replica.knownRevision} lease_ms=${membership.authorityRemainingMs} replica=${replica.state}"

    private fun basis(id: JobId): String {
        val job = replica.jobs[id]
        val state = when {
            job?.live == null -> replica.endOf(id)?.status?.name ?: "UNKNOWN"
            job.cancelled -> "CANCELLED"
            job.dependencies.isEmpty() -> "FREE"
            else -> job.dependencyState.name
        }
        return "job_state=$state record=${job?.liveRevision()} ${right()}"
    }

    private fun summarize() {
        log.info("violations={} {} {}", violations.total, right(), counts.entries.joinToString(" ") { (what, count) -> "$what=$count" })
        counts.clear()
    }

    private companion object {
        val INTERVAL = 60.seconds
        val log = LoggerFactory.getLogger("decision")
    }
}
