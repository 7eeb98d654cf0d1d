package copperglade.agents

import copperglade.observability.ActionAudit
import copperglade.protocol.Command
import copperglade.protocol.Heartbeat
import copperglade.protocol.WorkerMessageCodec
import copperglade.safety.ActionGuard
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * Composes the responses that acknowledge heartbeats and so renew the workers' leases, with the commands that they carry.
 *
 * Invariant: no such response lacks the stops of cancelled and ended tasks that the heartbeat reports ([ActionGuard.requiredStops]). Guards
 * against tasks that outlive their job's cancellation.
 */
class HeartbeatResponses(
    private val state: ShardState,
    private val planner: CommandPlanner,
    private val unresolved: UnresolvedStarts,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /** The body of a response to [heartbeat] of the fenced [machine], with the commands that are due for it. */
    fun withDueCommands(machine: Machine, heartbeat: Heartbeat): ByteArray = compose(heartbeat, dueCommands(machine))

    /** The body of a response to [heartbeat] without commands other than the stops that every response carries. */
    fun withoutCommands(heartbeat: Heartbeat): ByteArray = compose(heartbeat, emptyList())

    /**
     * The commands that go with the response to a fenced machine's heartbeat. A command in a response is never executed late, so where
     * direct commands go unanswered all of them go this way. Removals do in any case, to save messages of their own, and so do stops of
     * unknown tasks: direct commands may be failing unnoticed, and no lease is renewed without stopping what no run follows any more.
     */
    private fun dueCommands(machine: Machine): List<Command> {
        val unknownTaskCommands = planner.unknownTaskCommands(machine, clock.now())
        val due = planner.dueCommands(machine, unknownTaskCommands, clock.now())
        val planned = when {
            machine.channel.unresponsive && !machine.channel.commandInFlight -> due
            removalsAreDue(machine) -> due.filterIsInstance<Command.Remove>()
            else -> emptyList()
        }
        val unknownTaskStops = unknownTaskCommands.filterIsInstance<Command.Stop>().withoutStopsIn(planned)
        val commands = guard.approveCommands(machine.name, planned + unknownTaskStops)
        if (commands.isNotEmpty()) {
            planner.markSent(machine, commands)
            unresolved.begin(machine, commands, expiresAt = clock.now() + RESPONSE_LIFETIME)
        }
        return commands
    }

    /**
     * Every removal makes the worker send one more heartbeat. So removals wait a while for the next start to go with, but not on a
     * machine without tasks, which counts as idle only once it is empty.
     */
    private fun removalsAreDue(machine: Machine): Boolean = machine.runs.none { it.occupiesMachine } ||
        clock.now() >= machine.channel.lastRemovalSentAt + timeouts.heartbeatIntervals(HEARTBEATS_PER_REMOVAL)

    private fun compose(heartbeat: Heartbeat, commands: List<Command>): ByteArray {
        val stops = guard.requiredStops(heartbeat)
        val approved = guard.approveAnswer(heartbeat, stops + commands.withoutStopsIn(stops))
        audit.recordCommands(heartbeat.machine, state.fencingToken, approved, channel = "answer")
        audit.recordHeartbeatReply(heartbeat.machine, state.fencingToken, stops.size)
        return WorkerMessageCodec.encodeHeartbeatReply(state.fencingToken, approved)
    }

    private companion object {
        const val HEARTBEATS_PER_REMOVAL = 2.0

        /** Workers drop responses that come later than 4 s after their heartbeat. */
        val RESPONSE_LIFETIME = 5.seconds
    }
}
