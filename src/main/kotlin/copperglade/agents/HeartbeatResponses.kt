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

/**
 * Composes the responses that acknowledge heartbeats and renew the workers' leases, including the commands that they carry.
 *
 * Invariant: each response carries the stops of the cancelled and ended tasks that the heartbeat reports ([ActionGuard.requiredStops]).
 * Guards against tasks that continue to run after their job's cancellation.
 */
class HeartbeatResponses(
    private val state: ShardState,
    private val planner: CommandPlanner,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /** Returns the body of a response to [heartbeat] of the fenced [machine], with the commands that are due for the machine. */
    fun withDueCommands(machine: Machine, heartbeat: Heartbeat): ByteArray = compose(heartbeat, dueCommands(machine))

    /** Returns the body of a response to [heartbeat], without commands other than the stops that every response carries. */
    fun withoutCommands(heartbeat: Heartbeat): ByteArray = compose(heartbeat, emptyList())

    /**
     * Returns the commands for the response to a fenced machine's heartbeat. A command in a response is never executed late.
     *
     * Removals are included only when they are due or go along with a start, which saves separate messages. Stops of unknown tasks are
     * always included: direct commands may be failing undetected, and a lease must not be renewed without stopping the tasks that have no
     * run.
     */
    private fun dueCommands(machine: Machine): List<Command> {
        val now = clock.now()
        machine.channel.recordHeartbeatAnswered()
        val unknownTaskCommands = planner.unknownTaskCommands(machine, now)
        val due = planner.dueCommands(machine, unknownTaskCommands, now)
        val includesRemovals = machine.channel.unresponsive || due.any { it is Command.Start } || removalsAreDue(machine)
        val planned = if (includesRemovals) due else due.filter { it !is Command.Remove }
        val unknownTaskStops = unknownTaskCommands.filterIsInstance<Command.Stop>().withoutStopsIn(planned)
        val commands = guard.approveCommands(machine.name, planned + unknownTaskStops)
        planner.markSent(machine, commands)
        return commands
    }

    /**
     * Whether removals are sent with this response. Each removal makes the worker send an additional heartbeat, so removals are delayed
     * for a while to be sent along with the next start. On a machine without tasks removals are sent at once, since the machine counts as
     * idle only when it is empty.
     */
    private fun removalsAreDue(machine: Machine): Boolean = machine.runs.none { it.occupiesMachine } ||
        clock.now() >= machine.channel.lastRemovalSentAt + timeouts.heartbeatIntervals(REMOVAL_DELAY_INTERVALS)

    private fun compose(heartbeat: Heartbeat, commands: List<Command>): ByteArray {
        val stops = guard.requiredStops(heartbeat)
        val approved = guard.approveAnswer(heartbeat, stops + commands.withoutStopsIn(stops))
        audit.recordCommands(heartbeat.machine, heartbeat.epoch, state.fencingToken, approved, channel = "answer")
        audit.recordHeartbeatReply(heartbeat.machine, state.fencingToken, stops.size)
        return WorkerMessageCodec.encodeHeartbeatReply(state.fencingToken, approved)
    }

    private companion object {
        const val REMOVAL_DELAY_INTERVALS = 2.0
    }
}
