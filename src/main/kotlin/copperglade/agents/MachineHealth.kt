package copperglade.agents

import copperglade.protocol.MonotonicTime
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.MachineVerdict
import copperglade.tasks.RunState
import copperglade.tasks.ShardState

/**
 * Decides on which machines of a shard tasks may be placed, and which machines should be replaced.
 *
 * A machine on which several jobs fail takes no ordinary work. While that may be the jobs' own fault, the machine is *on trial*: it takes
 * one task of each job for which no usable machine has capacity, since only a task that doesn't fail there can clear it. While a usable
 * machine has capacity, the failed jobs' attempts there will tell whose fault it is.
 *
 * Where only its failures speak ([MachineVerdict.SUSPECTED]), a machine is replaced once it is empty. It is on trial only as long as it has
 * a task from before the last failure, so that trials don't delay the replacement.
 */
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
        failureEvidence.verdictOn(machine.name) == MachineVerdict.HEALTHY && isResponsive(machine, now)

    /** Whether [machine] is on trial, see [MachineHealth]. */
    fun isOnTrial(machine: Machine, now: MonotonicTime): Boolean = isResponsive(machine, now) &&
        when (failureEvidence.verdictOn(machine.name)) {
            MachineVerdict.HEALTHY, MachineVerdict.FAULTY -> false
            MachineVerdict.AMBIGUOUS -> true
            MachineVerdict.SUSPECTED -> machine.runs.any { it.startSentAt <= lastFailureOn(machine) }
        }

    /**
     * Whether the leader should assign tasks to [machine], which [isOnTrial]. False while a task that started after the last failure has
     * neither failed nor refuted it.
     */
    fun awaitsTrialTask(machine: Machine, now: MonotonicTime): Boolean {
        if (!isOnTrial(machine, now)) return false
        val lastFailureAt = lastFailureOn(machine)
        return machine.runs.none { run ->
            when (run.state) {
                RunState.STARTING, RunState.FETCHING -> true
                RunState.RUNNING -> run.startSentAt > lastFailureAt
                RunState.MISSING, RunState.WAITING, RunState.STOPPING, RunState.DONE, RunState.GONE -> false
            }
        }
    }

    /** Whether [machine] should not be replaced. A worker that has answered no command for a whole lease is not expected to recover. */
    fun isWorthKeeping(machine: Machine, now: MonotonicTime): Boolean =
        isAvailable(machine, now) && !isHeldAgainst(machine) && machine.channel.unresponsiveSince?.let { now < it + timeouts.lease } ?: true

    /**
     * Returns how many of the shard's machines are unreachable, with no contact for [UNREACHABLE_HEARTBEAT_INTERVALS]. A worker whose
     * heartbeat goes unanswered for 4 s sends it to another controller, so an unreachable machine is detected well before its lease
     * expires.
     */
    fun countUnreachable(now: MonotonicTime): Int {
        val timeout = timeouts.heartbeatIntervals(UNREACHABLE_HEARTBEAT_INTERVALS)
        return state.machines.values.count { now >= it.lastContactAt + timeout }
    }

    /** When the last failure happened that is evidence against [machine]. */
    fun lastFailureOn(machine: Machine): MonotonicTime = failureEvidence.lastFailureOn(machine.name)

    /** Whether the failures on [machine] have no better explanation than the machine. */
    fun isHeldAgainst(machine: Machine): Boolean = when (failureEvidence.verdictOn(machine.name)) {
        MachineVerdict.HEALTHY, MachineVerdict.AMBIGUOUS -> false
        MachineVerdict.SUSPECTED, MachineVerdict.FAULTY -> true
    }

    private fun isResponsive(machine: Machine, now: MonotonicTime): Boolean = isAvailable(machine, now) &&
        !machine.channel.unresponsive && now < machine.lastHeartbeatAt + timeouts.heartbeatTimeout

    private fun isAvailable(machine: Machine, now: MonotonicTime): Boolean = state.isFenced(machine) && !machine.draining &&
        !machine.deleting && !machine.evictionNoticed && !heartbeatTimedOut(machine, now)

    private fun heartbeatTimedOut(machine: Machine, now: MonotonicTime): Boolean = now >= machine.lastContactAt + timeouts.heartbeatTimeout

    private companion object {
        /** Heartbeat intervals without contact after which a machine counts as unreachable. */
        const val UNREACHABLE_HEARTBEAT_INTERVALS = 1.6
    }
}
