package copperglade.agents

import copperglade.protocol.Command
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import kotlin.time.Duration.Companion.milliseconds

/**
 * Works out which commands a machine's worker is still to be given: starts and stops of its runs, and stops and removals
 * of tasks that it reports but that no run of ours is bound to (*unknown* tasks).
 *
 * Invariant: an attempt whose start is unresolved is never removed from its machine, since a late copy of the start could
 * run it once more.
 */
class CommandPlanner(private val state: ShardState) {
    private val loop = state.context.loop

    /** The commands due for [machine]: stops first, since they make room and may be urgent, and as many as one message may hold. */
    fun dueCommands(machine: Machine): List<Command> {
        val now = loop.now()
        val commands = unknownTaskCommands(machine, now)
        for (run in machine.runs) runCommand(run, now)?.let(commands::add)
        return commands.sortedBy { COMMAND_ORDER.indexOf(it::class) }.take(MAX_COMMANDS_PER_MESSAGE)
    }

    /** What is due for tasks that no run of ours is bound to. */
    fun unknownTaskCommands(machine: Machine, now: MonotonicTime): MutableList<Command> = machine.reportedTasks
        .filter { machine.runOf(it) == null }
        .mapNotNullTo(ArrayList()) { unknownTaskCommand(machine, it, now) }

    /** An unknown task is stopped while it lives, and removed once it has ended. */
    private fun unknownTaskCommand(machine: Machine, reported: ReportedTask, now: MonotonicTime): Command? {
        if (reported.state != ReportedTaskState.EXITED) return Command.Stop(reported.task, reported.attempt, 0.0)
        // Not before its outcome is on record, and never while a late copy of its start could start it once more.
        val removalSentAt = machine.removalSentAt[reported.attempt] ?: MonotonicTime.NEVER
        val removable = !machine.hasUnresolvedStart(reported.task, reported.attempt) && now >= removalSentAt + RESEND_INTERVAL
        return if (removable) Command.Remove(reported.task, reported.attempt) else null
    }

    private fun runCommand(run: Run, now: MonotonicTime): Command? = when (run.state) {
        RunState.STOPPING -> if (now >= run.stopSentAt + RESEND_INTERVAL) {
            Command.Stop(run.task, run.attempt, graceFor(run))
        } else {
            null
        }
        RunState.STARTING -> if (!run.confirmedByWorker && now >= run.startSentAt + RESEND_INTERVAL && mayStart(run)) {
            Command.Start(run.task, run.attempt)
        } else {
            null
        }
        else -> null
    }

    private fun mayStart(run: Run) = state.context.guard.refusalToStart(run.task) == null

    /** A cancelled task gets no time to save. */
    private fun graceFor(run: Run): Double = if (run.stopReason == StopReason.CANCELLED) 0.0 else run.spec.checkpointSeconds

    /** Takes note that [commands] go out to [machine] now: none of them is due again for [RESEND_INTERVAL]. */
    fun markSent(machine: Machine, commands: List<Command>) {
        val now = loop.now()
        for (command in commands) {
            val run = state.runs[command.task]?.takeIf { it.attempt == command.attempt && it.machine === machine }
            when (command) {
                is Command.Start -> run?.startSentAt = now
                is Command.Stop -> run?.stopSentAt = now
                is Command.Remove -> {
                    machine.removalSentAt[command.attempt] = now
                    machine.lastRemovalSentAt = now
                }
            }
        }
    }

    companion object {
        /** How long a command has to take effect before it is sent again. */
        val RESEND_INTERVAL = 1000.milliseconds
        private const val MAX_COMMANDS_PER_MESSAGE = 200
        private val COMMAND_ORDER = listOf(Command.Stop::class, Command.Remove::class, Command.Start::class)
    }
}
