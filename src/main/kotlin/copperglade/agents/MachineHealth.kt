package copperglade.agents

import copperglade.protocol.MonotonicTime
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState

/** Judges which machines of a shard may be given tasks, and which should be replaced. */
class MachineHealth(
    private val state: ShardState,
    private val failureEvidence: FailureEvidence,
    private val timeouts: HeartbeatTimeouts,
) {
    /**
     * Whether tasks may be placed on [machine]. Not where a command has just gone unanswered, since they might be bound there for a
     * whole lease; nor where the worker's own heartbeats stay away though direct commands are answered, since its lease is running out.
     */
    fun isUsable(machine: Machine, now: MonotonicTime): Boolean =
        isHealthy(machine, now) && !machine.channel.unresponsive && now < machine.lastHeartbeatAt + timeouts.heartbeatTimeout

    /** Whether [machine] is worth its price: one that has answered no command for a lease is not expected to recover. */
    fun isWorthKeeping(machine: Machine, now: MonotonicTime): Boolean =
        isHealthy(machine, now) && machine.channel.unresponsiveSince?.let { now < it + timeouts.lease } ?: true

    /**
     * How many of the shard's machines are unreachable: more than a heartbeat is overdue. A worker whose heartbeat goes unanswered for
     * 4 s turns to another controller, so this shows well before its lease expires.
     */
    fun countUnreachable(now: MonotonicTime): Int {
        val limit = timeouts.heartbeatIntervals(UNREACHABLE_HEARTBEAT_INTERVALS)
        return state.machines.values.count { now >= it.lastContactAt + limit }
    }

    private fun isHealthy(machine: Machine, now: MonotonicTime): Boolean = state.isFenced(machine) && !machine.draining &&
        !machine.deleting && !machine.evictionNoticed && !failureEvidence.isFaultyMachine(machine.name) && !heartbeatTimedOut(machine, now)

    private fun heartbeatTimedOut(machine: Machine, now: MonotonicTime): Boolean = now >= machine.lastContactAt + timeouts.heartbeatTimeout

    private companion object {
        /** Heartbeat intervals without contact after which a machine counts as unreachable. */
        const val UNREACHABLE_HEARTBEAT_INTERVALS = 1.6
    }
}
