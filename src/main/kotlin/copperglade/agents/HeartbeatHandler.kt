package copperglade.agents

import copperglade.protocol.Command
import copperglade.protocol.Heartbeat
import copperglade.protocol.WorkerMessageCodec
import copperglade.safety.ActionGuard
import copperglade.tasks.Machine
import copperglade.tasks.ShardState

/**
 * Decides which of the workers' own reports are believed, and how each is answered.
 *
 * An answer of 200 renews the worker's lease, so it must be reckoned with whether it arrives or not. Invariants: a late copy
 * of a report gets no answer and changes nothing; no 200 lacks the stops of the cancelled tasks that the report shows
 * ([ActionGuard.requiredStops]). They guard against tasks that outlive their job's cancellation, or run twice because an old report was
 * taken for new.
 */
class HeartbeatHandler(
    private val state: ShardState,
    private val tracker: MachineTracker,
    private val commands: WorkerCommands,
) {
    private val loop = state.context.loop

    /**
     * Takes a worker's own report and answers it; null where it must not be answered with 200. The caller has checked
     * that we may act.
     */
    fun handleHeartbeat(heartbeat: Heartbeat): ByteArray? {
        if (tracker.isFromRemovedMachine(heartbeat)) {
            tracker.probeRemovedMachine(heartbeat)
            return null
        }
        val known = state.machines[heartbeat.machine]
        if (known != null && known.isUnverified(heartbeat)) return answerUnverified(known, heartbeat)
        if (known != null && known.isDuplicate(heartbeat)) {
            // A late copy, or a machine that began anew with low numbers: only its answer to a question of ours tells.
            commands.fence(known)
            return null
        }
        val machine = tracker.receive(heartbeat)
        machine.recordHeartbeat(heartbeat, loop.now())
        if (answersDoNotArrive(machine)) {
            commands.fence(machine)
            return null
        }
        return answerTrusted(machine, heartbeat)
    }

    private fun answerTrusted(machine: Machine, heartbeat: Heartbeat): ByteArray {
        machine.leaseRenewedAt = loop.now()
        if (!state.open || !state.isFenced(machine)) {
            machine.unacknowledgedReplies++
            commands.fence(machine)
            return answer(heartbeat)
        }
        machine.unacknowledgedReplies = 0
        return answer(heartbeat, commands.forReply(machine))
    }

    /**
     * Answers a worker while we may act no more but know of nobody else who would: its lease goes on, and nothing is
     * commanded but the end of what is cancelled. Null where somebody else has given it commands, or where the machine is
     * not a fenced one of ours.
     */
    fun extendWorkerLease(heartbeat: Heartbeat): ByteArray? {
        val known = state.machines[heartbeat.machine]?.takeIf { state.open && state.isFenced(it) } ?: return null
        if (heartbeat.fencingToken > state.fencingToken || known.isUnverified(heartbeat) || known.isDuplicate(heartbeat)) return null
        tracker.receive(heartbeat).recordHeartbeat(heartbeat, loop.now())
        known.leaseRenewedAt = loop.now()
        return answer(heartbeat)
    }

    /**
     * The report may be from before the machine began to count anew. It is not taken in, but while the machine answers our
     * questions, its lease must go on; a machine that doesn't gets no 200.
     */
    private fun answerUnverified(machine: Machine, heartbeat: Heartbeat): ByteArray? {
        commands.fence(machine)
        if (loop.now() >= machine.lastContactAt + state.context.heartbeatTimeout) return null
        machine.recordUnverifiedHeartbeat(loop.now())
        machine.leaseRenewedAt = loop.now()
        return answer(heartbeat)
    }

    /**
     * Whether our answers don't reach a worker whose reports come: it takes up no token of ours. A 200 sent is no proof of
     * arrival, but it must be reckoned with; so the worker gets none any more, and its lease surely runs out.
     */
    private fun answersDoNotArrive(machine: Machine): Boolean =
        state.open && !state.isFenced(machine) && machine.unacknowledgedReplies >= MAX_UNACKNOWLEDGED_REPLIES

    /** Every answer of 200 is made here: see [ActionGuard.requiredStops] for what none of them may lack. */
    private fun answer(heartbeat: Heartbeat, commands: List<Command> = emptyList()): ByteArray {
        val guard = state.context.guard
        val stops = guard.requiredStops(heartbeat)
        val others = commands.filterNot { command ->
            command is Command.Stop && stops.any { it.attempt == command.attempt && it.task == command.task }
        }
        val approved = guard.approveAnswer(heartbeat, stops + others)
        state.context.audit.recordCommands(heartbeat.machine, state.fencingToken, approved, channel = "answer")
        state.context.audit.recordAnswer(heartbeat.machine, state.fencingToken, stops.size)
        return WorkerMessageCodec.encodeHeartbeatReply(state.fencingToken, approved)
    }

    private companion object {
        const val MAX_UNACKNOWLEDGED_REPLIES = 4
    }
}
