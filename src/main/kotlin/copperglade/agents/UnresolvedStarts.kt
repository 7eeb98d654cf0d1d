package copperglade.agents

import copperglade.protocol.Command
import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.tasks.UnresolvedStart
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps account of start commands whose outcome nobody told. A late copy of one may still start its task, so the attempt
 * stays bound to its machine and is not removed there until session or fencing token have moved on.
 *
 * Guards against a task that is started once more by a delayed message, after it was given up or after it ended.
 */
class UnresolvedStarts(private val state: ShardState) {
    private val context = state.context

    /**
     * Takes note that the starts among [commands] are on their way to [machine]; [expiresAt] is null where a copy may
     * arrive at any later time.
     */
    fun begin(machine: Machine, commands: List<Command>, expiresAt: MonotonicTime?): List<UnresolvedStart> {
        val starts = commands
            .filterIsInstance<Command.Start>()
            .map { UnresolvedStart(it.task, it.attempt, machine.epoch, state.fencingToken, context.loop.now(), expiresAt) }
        machine.unresolvedStarts += starts
        return starts
    }

    /** The worker has answered the message that carried [starts]: that copy was executed or never will be. */
    fun resolve(machine: Machine, starts: List<UnresolvedStart>) {
        machine.unresolvedStarts.removeAll(starts.toSet())
    }

    /** Forgets starts that went out with an answer which its worker would drop by now. */
    fun forgetExpired(machine: Machine, now: MonotonicTime) {
        machine.unresolvedStarts.removeIf { it.expiresAt != null && now >= it.expiresAt }
    }

    /**
     * Whether a start of unknown outcome holds something up that only a higher fencing token can settle: a late copy of it
     * could still act, and its machine goes on living. Where direct commands go unanswered that can wait, unless the task
     * is cancelled: its start, held up on the way for longer than a cancellation allows, must find a higher token there,
     * which the answers to reports bring.
     */
    fun needHigherToken(): Boolean {
        val now = context.loop.now()
        return state.machines.values.any { machine ->
            now < machine.lastContactAt + context.heartbeatTimeout && machine.unresolvedStarts.any { blocksRun(it, machine, now) }
        }
    }

    private fun blocksRun(start: UnresolvedStart, machine: Machine, now: MonotonicTime): Boolean =
        start.expiresAt == null && start.fencingToken == state.fencingToken && now >= start.sentAt + TOKEN_RENEWAL_DELAY &&
            (!machine.unresponsive || context.guard.isEndedOrCancelled(start.task.job))

    private companion object {
        /** How long a start may stay unresolved before the token is raised. */
        val TOKEN_RENEWAL_DELAY = 5.seconds
    }
}
