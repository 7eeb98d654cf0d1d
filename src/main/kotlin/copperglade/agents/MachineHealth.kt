package copperglade.agents

import copperglade.protocol.MonotonicTime
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState

/** Decides on which machines of a shard tasks may be placed, and which machines should be replaced. */
class MachineHealth(
    private val state: ShardState,
    private val failureEvidence: FailureEvidence,
    private val timeouts: HeartbeatTimeouts,
) {
    /**
     * Whether tasks may be placed on [machine]. False after an unanswered command, since the tasks might stay bound to the machine for a
     * whole lease. False too if the worker answers direct commands but sends no heartbeats, since its lease is about to expire.
     */
    fun isUsable(machine: Machine, now: MonotonicTime): Boolean =
        isHealthy(machine, now) && !machine.channel.unresponsive && now < machine.lastHeartbeatAt + timeouts.heartbeatTimeout

    /** Whether [machine] should not be replaced. A worker that has answered no command for a whole lease is not expected to recover. */
    fun isWorthKeeping(machine: Machine, now: MonotonicTime): Boolean =
        isHealthy(machine, now) && machine.channel.unresponsiveSince?.let { now < it + timeouts.lease } ?: true

    /**
     * Returns how many of the shard's machines are unreachable, with no contact for [UNREACHABLE_HEARTBEAT_INTERVALS]. A worker whose
     * heartbeat goes unanswered for 4 s sends it to another controller, so an unreachable machine is detected well before its lease
     * expires.
     */
    fun countUnreachable(now: MonotonicTime): Int {
        val timeout = timeouts.heartbeatIntervals(UNREACHABLE_HEARTBEAT_INTERVALS)
        return state.machines.values.count { now >= it.lastContactAt + timeout }
    }

    private fun isHealthy(machine: Machine, now: MonotonicTime): Boolean = state.isFenced(machine) && !machine.draining &&
        !machine.deleting && !machine.evictionNoticed && !failureEvidence.isFaultyMachine(machine.name) && !heartbeatTimedOut(machine, now)

    private fun heartbeatTimedOut(machine: Machine, now: MonotonicTime): Boolean = now >= machine.lastContactAt + timeouts.heartbeatTimeout

    private companion object {
        /** Heartbeat intervals without contact after which a machine counts as unreachable. */
        const val UNREACHABLE_HEARTBEAT_INTERVALS = 1.6
    }
}
