package copperglade.agents

import copperglade.membership.Membership
import copperglade.protocol.Command
import copperglade.protocol.Endpoint
import copperglade.protocol.Heartbeat
import copperglade.protocol.MonotonicTime
import copperglade.protocol.WorkerMessageCodec
import copperglade.tasks.Machine
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.UnresolvedStart
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends commands to the workers of a shard, directly or with the answers to their reports.
 *
 * Invariants: a machine has one direct command under way at most; only a fenced machine is given starts, stops or removals;
 * direct commands go out only while [Membership.mayAct], asked at the moment of sending. They guard against commands of a
 * controller that has lost the shard, and against acting on what a former owner's commands may still change.
 */
class WorkerCommands(
    private val state: ShardState,
    private val planner: CommandPlanner,
    private val unresolved: UnresolvedStarts,
    private val lifecycle: RunLifecycle,
    /** Takes in the report with which a machine answered a command that was sent at the given moment. */
    private val heartbeatReceived: (Machine, Heartbeat, MonotonicTime) -> Unit,
) {
    private val context = state.context
    private val loop = context.loop

    /** Sends a machine whatever it is still to be told. */
    fun sendDue(machine: Machine) {
        if (!state.open || machine.commandInFlight || machine.deleting || !context.membership.mayAct) return
        if (!state.isFenced(machine)) return fence(machine)
        if (machine.unresponsive) fence(machine)
        for (run in machine.runs.toList()) {
            if (run.state == RunState.STOPPING && !run.confirmedByWorker &&
                run.startSentAt == MonotonicTime.NEVER
            ) {
                lifecycle.lost(run, "never sent")
            }
        }
        val commands = planner.dueCommands(machine)
        if (commands.any { it !is Command.Remove }) send(machine, commands)
    }

    /** Shows a machine our fencing token, and asks it for a report, by a message without commands. */
    fun fence(machine: Machine) {
        if (!state.open || machine.commandInFlight || loop.now() < machine.commandSentAt + CommandPlanner.RESEND_INTERVAL) return
        send(machine, emptyList())
    }

    /** Asks the worker at [endpoint], of which nothing is known for certain, for a report; [done] gets null if none comes. */
    fun probe(endpoint: Endpoint, epoch: Long, done: (Heartbeat?) -> Unit) {
        if (!context.guard.approveSending("probe of $endpoint")) return done(null)
        val request =
            Request(Method.POST, WorkerMessageCodec.COMMAND_PATH, WorkerMessageCodec.encodeCommands(state.fencingToken, epoch, emptyList()))
        context.http.call(endpoint, request, COMMAND_TIMEOUT) { reply ->
            done(reply?.let { WorkerMessageCodec.decodeHeartbeat(it.body) })
        }
    }

    /**
     * The commands that go out with the answer to a fenced machine's report. Where the direct way is broken, that is the
     * other one; a command in an answer is never executed late. Removals go with it in any case: a message of its own for
     * every finished task was a third of all commands.
     */
    fun forReply(machine: Machine): List<Command> {
        val due = planner.dueCommands(machine)
        val planned = when {
            machine.unresponsive && !machine.commandInFlight -> due
            removalsAreDue(machine) -> due.filterIsInstance<Command.Remove>()
            else -> emptyList()
        }
        val commands = context.guard.approveCommands(machine.name, planned + unknownStops(machine, planned))
        if (commands.isNotEmpty()) {
            planner.markSent(machine, commands)
            unresolved.begin(machine, commands, expiresAt = loop.now() + ANSWER_LIFETIME)
        }
        return commands
    }

    /** The direct way may be broken without our knowing yet; no lease is renewed without stopping what nobody follows any more. */
    private fun unknownStops(machine: Machine, planned: List<Command>): List<Command> {
        val stops = planner.unknownTaskCommands(machine, loop.now()).filterIsInstance<Command.Stop>()
        return stops.filterNot { stop -> planned.any { it is Command.Stop && it.task == stop.task && it.attempt == stop.attempt } }
    }

    /**
     * Every removal makes the worker report once more. So removals wait for a while, until the next start takes them along,
     * but not where nothing else is left: a machine is idle only once it is empty.
     */
    private fun removalsAreDue(machine: Machine): Boolean = machine.runs.none { it.occupiesMachine } ||
        loop.now() >= machine.lastRemovalSentAt + context.heartbeatIntervals(HEARTBEATS_PER_REMOVAL)

    private fun send(machine: Machine, planned: List<Command>) {
        if (!context.membership.mayAct) return
        val commands = context.guard.approveCommands(machine.name, planned)
        context.audit.recordCommands(machine.name, state.fencingToken, commands, channel = "direct")
        planner.markSent(machine, commands)
        val sentAt = loop.now()
        machine.commandInFlight = true
        machine.commandSentAt = sentAt
        val body = WorkerMessageCodec.encodeCommands(state.fencingToken, machine.epoch, commands)
        val starts = unresolved.begin(machine, commands, expiresAt = null)
        val request = Request(Method.POST, WorkerMessageCodec.COMMAND_PATH, body)
        context.http.call(machine.endpoint, request, COMMAND_TIMEOUT) { reply ->
            machine.commandInFlight = false
            machine.unresponsiveSince = if (reply == null) machine.unresponsiveSince ?: loop.now() else null
            if (state.machines[machine.name] === machine) replied(machine, reply, starts, sentAt)
        }
    }

    private fun replied(machine: Machine, reply: Reply?, starts: List<UnresolvedStart>, sentAt: MonotonicTime) {
        if (reply == null) return
        if (reply.status == HttpStatus.OK || reply.status == HttpStatus.CONFLICT) unresolved.resolve(machine, starts)
        val heartbeat = WorkerMessageCodec.decodeHeartbeat(reply.body)
        if (heartbeat != null && heartbeat.machine == machine.name) {
            if (heartbeat.fencingToken > state.fencingToken) {
                log.info("{} obeys a higher baton {} than ours, {}", machine.name, heartbeat.fencingToken, state.fencingToken)
            }
            heartbeatReceived(machine, heartbeat, sentAt)
        } else {
            log.warn("{} answered a command with {}", machine.name, reply.status)
        }
        sendDue(machine)
    }

    private companion object {
        const val HEARTBEATS_PER_REMOVAL = 2.0
        val COMMAND_TIMEOUT = 1500.milliseconds

        /** Workers drop answers that come later than 4 s after their report. */
        val ANSWER_LIFETIME = 5.seconds
        val log = LoggerFactory.getLogger("owner")
    }
}
