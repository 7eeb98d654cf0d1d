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
 * Tracks start commands whose outcome is unknown. A late copy of such a command may still start the task, so the attempt stays bound to
 * its machine, and is not removed there, until the worker's agent epoch or fencing token is higher.
 *
 * Guards against a task that a delayed message starts again after the task was returned to the leader or has ended.
 */
class UnresolvedStarts(
    private val state: ShardState,
    private val guard: ActionGuard,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) {
    /**
     * Records that the starts among [commands] are being sent to [machine], and returns them for [resolve]. [expiresAt] is null if a
     * copy may take effect at any later time.
     */
    fun recordSent(machine: Machine, commands: List<Command>, expiresAt: MonotonicTime?): List<UnresolvedStart> {
        val starts = commands
            .filterIsInstance<Command.Start>()
            .map { UnresolvedStart(it.task, it.attempt, machine.epoch, state.fencingToken, clock.now(), expiresAt) }
        machine.channel.addUnresolved(starts)
        return starts
    }

    /** Drops [starts] after the worker has answered their message: it was executed, or no copy of it can be executed any more. */
    fun resolve(machine: Machine, starts: List<UnresolvedStart>) = machine.channel.resolve(starts)

    /**
     * Records that the direct command with [starts] was answered by [machine], or timed out. The command was sent on a connection that is
     * closed by now, so only a worker that was running before now may have executed it.
     */
    fun recordCommandEnded(machine: Machine, starts: List<UnresolvedStart>) {
        val now = clock.now()
        for (start in starts) {
            start.recordCommandEnded()
            val run = state.runs[start.task]?.takeIf { it.attempt == start.attempt && it.machine === machine }
            run?.startedNoLaterThan = now
        }
    }

    /** Drops starts that were sent with a heartbeat response that the worker would ignore if it arrived at [now]. */
    fun discardExpired(now: MonotonicTime) = state.machines.values.forEach { it.channel.discardExpired(now) }

    /**
     * Whether some unresolved start requires a higher fencing token: a late copy of the start could still take effect, and the machine
     * is alive.
     *
     * While direct commands go unanswered, only the starts of ended and cancelled jobs require one. Such a start may be delayed for
     * longer than a cancellation may take. When it arrives, the worker must already have received the higher token with a heartbeat
     * response.
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
        /** The time after which an unresolved start requires a higher fencing token. */
        val TOKEN_RENEWAL_DELAY = 5.seconds
    }
}
