package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.transport.Clock

/** The result of handling a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** The heartbeat is acknowledged with the response [body], which renews the worker's lease if the response arrives. */
    class Acknowledged(val body: ByteArray) : HeartbeatOutcome

    /** The heartbeat is not acknowledged, so the worker's lease is not renewed. */
    data class NotAcknowledged(val reason: Reason) : HeartbeatOutcome

    /** Why a heartbeat is not acknowledged. */
    enum class Reason {
        /** The machine was removed; the heartbeat is from before the removal, or from a restarted worker. */
        MACHINE_REMOVED,

        /** The heartbeat is a late copy, or the worker has restarted with low numbers. Only a reply to a command distinguishes these. */
        DUPLICATE,

        /** The heartbeat may be from before the worker restarted, and no reply or heartbeat of the worker was accepted recently. */
        UNVERIFIED_AND_UNREACHABLE,

        /** Earlier responses don't reach the worker: its heartbeats report none of the fencing tokens in these responses. */
        RESPONSES_NOT_RECEIVED,

        /**
         * The machine is not a fenced machine of an open shard, the worker has reported a higher token than this owner has, or the
         * heartbeat is unverified or a duplicate.
         */
        MACHINE_NOT_OWNED,
    }
}

/**
 * Decides which heartbeats are trusted, and whether each is acknowledged. Replies to direct commands are not handled here.
 *
 * An acknowledgement may renew the worker's lease, so the lease counts as renewed even if the response is lost. Invariant: a late copy
 * of a heartbeat is not acknowledged and changes nothing. Guards against two executions of a task because an old heartbeat was mistaken
 * for a new one.
 */
class HeartbeatHandler(
    private val state: ShardState,
    private val tracker: MachineTracker,
    private val commands: WorkerCommands,
    private val responses: HeartbeatResponses,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /** Handles a heartbeat that a worker sent on its own. The caller must have checked that the controller may act. */
    fun handle(heartbeat: Heartbeat): HeartbeatOutcome {
        if (tracker.isFromRemovedMachine(heartbeat)) {
            tracker.probeRemovedMachine(heartbeat)
            return notAcknowledged(HeartbeatOutcome.Reason.MACHINE_REMOVED)
        }
        val trackedMachine = state.machines[heartbeat.machine]
        return when {
            trackedMachine != null && trackedMachine.sequence.isUnverified(heartbeat) -> handleUnverified(trackedMachine, heartbeat)
            trackedMachine != null && trackedMachine.sequence.isDuplicate(heartbeat) -> {
                commands.sendFencingToken(trackedMachine)
                notAcknowledged(HeartbeatOutcome.Reason.DUPLICATE)
            }
            else -> handleTrusted(trackedMachine, heartbeat)
        }
    }

    private fun handleTrusted(trackedMachine: Machine?, heartbeat: Heartbeat): HeartbeatOutcome {
        // The response to this heartbeat carries the starts that are due, so none is requested meanwhile.
        trackedMachine?.channel?.expectHeartbeat(clock.now())
        val machine = tracker.receive(heartbeat)
        machine.recordHeartbeat(heartbeat, clock.now())
        if (responsesNotReceived(machine)) {
            commands.sendFencingToken(machine)
            return notAcknowledged(HeartbeatOutcome.Reason.RESPONSES_NOT_RECEIVED)
        }
        machine.renewLease(clock.now())
        if (!state.isOpen || !state.isFenced(machine)) {
            machine.unacknowledgedResponses++
            commands.sendFencingToken(machine)
            return HeartbeatOutcome.Acknowledged(responses.withoutCommands(heartbeat))
        }
        machine.unacknowledgedResponses = 0
        return HeartbeatOutcome.Acknowledged(responses.withDueCommands(machine, heartbeat))
    }

    /**
     * Handles a heartbeat that may be from before the worker restarted. Its content is not accepted. It is acknowledged, so that the
     * worker's lease is renewed, only while the worker is in contact through replies to commands. The due commands go along: nobody
     * receives the response if the heartbeat is a late one.
     */
    private fun handleUnverified(machine: Machine, heartbeat: Heartbeat): HeartbeatOutcome {
        commands.sendFencingToken(machine)
        if (clock.now() >= machine.lastContactAt + timeouts.heartbeatTimeout) {
            return notAcknowledged(HeartbeatOutcome.Reason.UNVERIFIED_AND_UNREACHABLE)
        }
        machine.recordUnverifiedHeartbeat(clock.now())
        machine.renewLease(clock.now())
        return HeartbeatOutcome.Acknowledged(respond(machine, heartbeat))
    }

    private fun respond(machine: Machine, heartbeat: Heartbeat): ByteArray =
        if (state.isOpen && state.isFenced(machine)) responses.withDueCommands(machine, heartbeat) else responses.withoutCommands(heartbeat)

    /**
     * Handles a heartbeat while this controller may no longer act and no other controller is known that may: renews the worker's lease,
     * without commands other than the stops of cancelled and ended tasks. Not acknowledged if another owner has sent the worker
     * commands, or if the machine is not a fenced machine of this owner.
     */
    fun extendWorkerLease(heartbeat: Heartbeat): HeartbeatOutcome {
        val trackedMachine = state.machines[heartbeat.machine]?.takeIf { state.isOpen && state.isFenced(it) }
        val mayExtend = trackedMachine != null && heartbeat.fencingToken <= state.fencingToken &&
            !trackedMachine.sequence.isUnverified(heartbeat) && !trackedMachine.sequence.isDuplicate(heartbeat)
        if (!mayExtend) return notAcknowledged(HeartbeatOutcome.Reason.MACHINE_NOT_OWNED)
        val machine = tracker.receive(heartbeat)
        machine.recordHeartbeat(heartbeat, clock.now())
        machine.renewLease(clock.now())
        return HeartbeatOutcome.Acknowledged(responses.withoutCommands(heartbeat))
    }

    /**
     * Whether the responses don't reach a worker whose heartbeats arrive: it reports no token of this owner. Each response may have
     * renewed the lease, so no further response is sent to the worker, and its lease certainly expires.
     */
    private fun responsesNotReceived(machine: Machine): Boolean =
        state.isOpen && !state.isFenced(machine) && machine.unacknowledgedResponses >= MAX_UNACKNOWLEDGED_RESPONSES

    private fun notAcknowledged(reason: HeartbeatOutcome.Reason) = HeartbeatOutcome.NotAcknowledged(reason)

    private companion object {
        const val MAX_UNACKNOWLEDGED_RESPONSES = 4
    }
}
