package copperglade.agents

import copperglade.protocol.Command
import copperglade.protocol.MonotonicTime
import copperglade.safety.ActionGuard
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.tasks.UnresolvedStart
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks start commands whose outcome is unknown. A late copy of one may still start its task, so the attempt stays bound to its
 * machine and is not removed there until agent epoch or fencing token have moved on.
 *
 * Guards against a task that is started once more by a delayed message, after it was returned to the leader or after it ended.
 */
class UnresolvedStarts(
    private val state: ShardState,
    private val guard: ActionGuard,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /**
     * Records that the starts among [commands] are being sent to [machine], and returns them for [resolve]. [expiresAt] is null where
     * a copy may arrive at any later time.
     */
    fun recordSent(machine: Machine, commands: List<Command>, expiresAt: MonotonicTime?): List<UnresolvedStart> {
        val starts = commands
            .filterIsInstance<Command.Start>()
            .map { UnresolvedStart(it.task, it.attempt, machine.epoch, state.fencingToken, clock.now(), expiresAt) }
        machine.channel.addUnresolved(starts)
        return starts
    }

    /** The worker has answered the message that carried [starts]: that copy was executed or never will be. */
    fun resolve(machine: Machine, starts: List<UnresolvedStart>) = machine.channel.resolve(starts)

    /** Drops starts that were sent with a heartbeat response which its worker would ignore by [now]. */
    fun discardExpired(now: MonotonicTime) = state.machines.values.forEach { it.channel.discardExpired(now) }

    /**
     * Whether an unresolved start blocks something that only a higher fencing token can unblock: a late copy of it could still take
     * effect, and its machine is alive. Where direct commands go unanswered that can wait, unless the task is cancelled: its start,
     * held up on the way for longer than a cancellation allows, must find a higher token at the worker, which the responses to
     * heartbeats bring.
     */
    fun needHigherToken(): Boolean {
        val now = clock.now()
        return state.machines.values.any { machine ->
            now < machine.lastContactAt + timeouts.heartbeatTimeout &&
                machine.channel.unresolvedStarts.any { needsHigherToken(it, machine, now) }
        }
    }

    private fun needsHigherToken(start: UnresolvedStart, machine: Machine, now: MonotonicTime): Boolean =
        start.expiresAt == null && start.fencingToken == state.fencingToken && now >= start.sentAt + TOKEN_RENEWAL_DELAY &&
            (!machine.channel.unresponsive || guard.isEndedOrCancelled(start.task.job))

    private companion object {
        /** How long a start may stay unresolved before the fencing token is raised. */
        val TOKEN_RENEWAL_DELAY = 5.seconds
    }
}
