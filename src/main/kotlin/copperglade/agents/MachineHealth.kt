package copperglade.agents

import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import kotlin.time.Duration.Companion.seconds

/** Judges which machines of a shard may be given tasks, and which had better be replaced. */
class MachineHealth(private val state: ShardState) {
    private val context = state.context

    /**
     * Whether tasks may be placed on [machine]. None are where a command has just gone unanswered: they might be bound
     * there for a whole lease. Nor where the worker's own reports stay out, though direct commands are answered: its lease
     * is running out.
     */
    fun isUsable(machine: Machine, now: MonotonicTime): Boolean =
        isSound(machine, now) && !machine.unresponsive && now < machine.lastHeartbeatAt + context.heartbeatTimeout

    /** Whether [machine] is worth its rent: one that has not obeyed a command for a lease will not. */
    fun isWorthKeeping(machine: Machine, now: MonotonicTime): Boolean =
        isSound(machine, now) && machine.unresponsiveSince?.let { now < it + context.leaseSeconds.seconds } ?: true

    /**
     * How many of the shard's machines have missed a report. A worker whose report has gone unanswered for 4 s asks another
     * controller, and is sent back for 4 s more if the shard still has its owner by then.
     */
    fun countUnreachable(now: MonotonicTime): Int {
        val limit = context.heartbeatIntervals(MISSED_HEARTBEATS)
        return state.machines.values.count { now >= it.lastContactAt + limit }
    }

    private fun isSound(machine: Machine, now: MonotonicTime): Boolean = state.isFenced(machine) && !machine.draining &&
        !machine.deleting && !machine.evictionNoticed && !context.failureEvidence.blamesMachine(machine.name) && !isSilent(machine, now)

    private fun isSilent(machine: Machine, now: MonotonicTime): Boolean = now >= machine.lastContactAt + context.heartbeatTimeout

    private companion object {
        const val MISSED_HEARTBEATS = 1.6
    }
}
