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
     * Takes note that the starts among [commands] are on their way to [machine]; [actsUntil] is null where a copy may
     * arrive at any later time.
     */
    fun begin(machine: Machine, commands: List<Command>, actsUntil: MonotonicTime?): List<UnresolvedStart> {
        val starts = commands
            .filterIsInstance<Command.Start>()
            .map { UnresolvedStart(it.task, it.attempt, machine.epoch, state.token, context.loop.now(), actsUntil) }
        machine.unresolvedStarts += starts
        return starts
    }

    /** The worker has answered the message that carried [starts]: that copy was executed or never will be. */
    fun resolve(machine: Machine, starts: List<UnresolvedStart>) {
        machine.unresolvedStarts.removeAll(starts.toSet())
    }

    /** Forgets starts that went out with an answer which its worker would drop by now. */
    fun forgetExpired(machine: Machine, now: MonotonicTime) {
        machine.unresolvedStarts.removeIf { it.actsUntil != null && now >= it.actsUntil }
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
            now < machine.heardAt + context.heartbeatTimeout && machine.unresolvedStarts.any { shards(it, machine, now) }
        }
    }

    private fun shards(start: UnresolvedStart, machine: Machine, now: MonotonicTime): Boolean =
        start.actsUntil == null && start.fencingToken == state.token && now >= start.since + PATIENCE &&
            (!machine.unresponsive || context.guard.isEndedOrCancelled(start.task.job))

    private companion object {
        /** How long a start may stay unresolved before the token is raised. */
        val PATIENCE = 5.seconds
    }
}
