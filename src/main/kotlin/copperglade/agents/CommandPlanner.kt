package copperglade.agents

import copperglade.protocol.Command
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.safety.ActionGuard
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Works out which commands a machine's worker has still to be given: starts and stops of its runs, and stops and removals of tasks
 * that it reports but that no run is bound to (*unknown* tasks).
 *
 * Invariant: an attempt whose start is unresolved is never removed from its machine, since a late copy of the start could run it
 * once more.
 */
class CommandPlanner(private val state: ShardState, private val guard: ActionGuard, private val clock: Clock) {
    /** The commands due for [machine], see [dueCommands] with the commands for unknown tasks. */
    fun dueCommands(machine: Machine): List<Command> {
        val now = clock.now()
        return dueCommands(machine, unknownTaskCommands(machine, now), now)
    }

    /**
     * The commands due for [machine], [unknownTaskCommands] among them: stops first, since they free capacity and may be urgent, and
     * no more than one message may hold.
     */
    fun dueCommands(machine: Machine, unknownTaskCommands: List<Command>, now: MonotonicTime): List<Command> {
        val commands = ArrayList(unknownTaskCommands)
        for (run in machine.runs) runCommand(run, now)?.let(commands::add)
        return commands.sortedBy { COMMAND_ORDER.indexOf(it::class) }.take(MAX_COMMANDS_PER_MESSAGE)
    }

    /** The commands due for tasks that [machine]'s worker reports and that no run is bound to. */
    fun unknownTaskCommands(machine: Machine, now: MonotonicTime): List<Command> = machine.reportedTasks
        .filter { machine.runOf(it) == null }
        .mapNotNull { unknownTaskCommand(machine, it, now) }

    /** An unknown task is stopped while it runs, and removed once it has exited. */
    private fun unknownTaskCommand(machine: Machine, reported: ReportedTask, now: MonotonicTime): Command? {
        if (reported.state != ReportedTaskState.EXITED) return Command.Stop(reported.task, reported.attempt, NO_GRACE_SECONDS)
        val channel = machine.channel
        val removable = !channel.hasUnresolvedStart(reported.task, reported.attempt) &&
            now >= channel.removalSentAt(reported.attempt) + RESEND_INTERVAL
        return if (removable) Command.Remove(reported.task, reported.attempt) else null
    }

    private fun runCommand(run: Run, now: MonotonicTime): Command? = when (run.state) {
        RunState.STOPPING -> if (now >= run.stopSentAt + RESEND_INTERVAL) {
            Command.Stop(run.task, run.attempt, graceSecondsFor(run))
        } else {
            null
        }
        RunState.STARTING -> if (!run.confirmedByWorker && now >= run.startSentAt + RESEND_INTERVAL && mayStart(run)) {
            Command.Start(run.task, run.attempt)
        } else {
            null
        }
        RunState.MISSING, RunState.WAITING, RunState.FETCHING, RunState.RUNNING, RunState.DONE, RunState.GONE -> null
    }

    private fun mayStart(run: Run) = guard.refusalToStart(run.task) == null

    /** A cancelled task gets no time to save a checkpoint. */
    private fun graceSecondsFor(run: Run): Double = if (run.stopReason ==
        StopReason.CANCELLED
    ) {
        NO_GRACE_SECONDS
    } else {
        run.spec.checkpointSeconds
    }

    /** Records that [commands] are being sent to [machine]: none of them is due again before [RESEND_INTERVAL] has passed. */
    fun markSent(machine: Machine, commands: List<Command>) {
        val now = clock.now()
        for (command in commands) {
            val run = state.runs[command.task]?.takeIf { it.attempt == command.attempt && it.machine === machine }
            when (command) {
                is Command.Start -> run?.startSentAt = now
                is Command.Stop -> run?.stopSentAt = now
                is Command.Remove -> machine.channel.removalSent(command.attempt, now)
            }
        }
    }

    companion object {
        /** How long a command has to take effect before it is sent again. */
        val RESEND_INTERVAL = 1000.milliseconds
        private const val MAX_COMMANDS_PER_MESSAGE = 200
        private const val NO_GRACE_SECONDS = 0.0
        private val COMMAND_ORDER = listOf(Command.Stop::class, Command.Remove::class, Command.Start::class)
    }
}

/** These commands without the stops that are in [others] already; stops are the same where task and attempt are. */
internal fun List<Command>.withoutStopsIn(others: List<Command>): List<Command> = filterNot { command ->
    command is Command.Stop && others.any { it is Command.Stop && it.task == command.task && it.attempt == command.attempt }
}
