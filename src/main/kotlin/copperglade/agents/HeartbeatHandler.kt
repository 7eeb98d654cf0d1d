package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.transport.Clock

/** What becomes of a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** It is acknowledged with [body], which renews the worker's lease if it arrives. */
    class Acknowledged(val body: ByteArray) : HeartbeatOutcome

    /** It is not acknowledged, so that the worker's lease runs on towards its end. */
    data class NotAcknowledged(val reason: Reason) : HeartbeatOutcome

    /** Why a heartbeat is not acknowledged. */
    enum class Reason {
        /** Its machine was removed, and it is from before that or from a worker that has restarted. */
        MACHINE_REMOVED,

        /** It is a late copy, or the worker has restarted with low numbers: only its reply to a command can tell. */
        DUPLICATE,

        /** It may be from before the worker restarted, and the machine doesn't answer commands. */
        UNVERIFIED_AND_UNREACHABLE,

        /** Earlier responses don't reach the worker: it shows none of the fencing tokens that they carried. */
        RESPONSES_NOT_RECEIVED,

        /** Its machine is not a fenced machine of this owner, or another owner has commanded it since. */
        MACHINE_NOT_OWNED,
    }
}

/**
 * Decides which of the workers' own heartbeats are trusted, and whether each is acknowledged.
 *
 * An acknowledgement renews the worker's lease, so it counts as if it had arrived. Invariant: a late copy of a heartbeat is not
 * acknowledged and changes nothing. Guards against tasks that run twice because an old heartbeat was taken for a new one.
 */
class HeartbeatHandler(
    private val state: ShardState,
    private val tracker: MachineTracker,
    private val commands: WorkerCommands,
    private val responses: HeartbeatResponses,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /** Handles a worker's own heartbeat. The caller has checked that the controller may act. */
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
            else -> handleTrusted(heartbeat)
        }
    }

    private fun handleTrusted(heartbeat: Heartbeat): HeartbeatOutcome {
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
     * A heartbeat that may be from before the worker restarted is not accepted. While the machine replies to commands its lease must go
     * on; one that doesn't is not acknowledged.
     */
    private fun handleUnverified(machine: Machine, heartbeat: Heartbeat): HeartbeatOutcome {
        commands.sendFencingToken(machine)
        if (clock.now() >= machine.lastContactAt + timeouts.heartbeatTimeout) {
            return notAcknowledged(HeartbeatOutcome.Reason.UNVERIFIED_AND_UNREACHABLE)
        }
        machine.recordUnverifiedHeartbeat(clock.now())
        machine.renewLease(clock.now())
        return HeartbeatOutcome.Acknowledged(responses.withoutCommands(heartbeat))
    }

    /**
     * Handles a heartbeat while the controller may no longer act but knows of no other that would: the worker's lease goes on, and
     * nothing is commanded but the end of what is cancelled. Not acknowledged where another owner has given the worker commands, or
     * where the machine is not a fenced one of this owner.
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
     * Whether the responses don't reach a worker whose heartbeats arrive: it shows no token of this owner. Each response that was sent
     * may have renewed the lease, so the worker gets none any more, and its lease certainly expires.
     */
    private fun responsesNotReceived(machine: Machine): Boolean =
        state.isOpen && !state.isFenced(machine) && machine.unacknowledgedResponses >= MAX_UNACKNOWLEDGED_RESPONSES

    private fun notAcknowledged(reason: HeartbeatOutcome.Reason) = HeartbeatOutcome.NotAcknowledged(reason)

    private companion object {
        const val MAX_UNACKNOWLEDGED_RESPONSES = 4
    }
}
