package copperglade.agents

import copperglade.observability.ActionAudit
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
 * Determines which commands are due for a machine's worker: starts and stops of the machine's runs, and stops and removals of *unknown*
 * tasks, which the worker reports without a run being bound to the machine.
 *
 * Invariants: starts go only with heartbeat responses; an attempt is not removed from its machine while its start may take effect. After
 * the removal the worker no longer knows the attempt, and would start it once more.
 */
class CommandPlanner(
    private val state: ShardState,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
    private val clock: Clock,
) {
    /**
     * Returns the commands to send to [machine] directly: stops, and with them removals. Where a start is due, a heartbeat is requested,
     * in whose response the start goes.
     */
    fun dueDirectCommands(machine: Machine): List<Command> {
        val now = clock.now()
        val (starts, others) = dueCommands(machine, unknownTaskCommands(machine, now), now).partition { it is Command.Start }
        val heartbeatNeeded = starts.isNotEmpty() && !machine.channel.unresponsive && now >= machine.channel.heartbeatDueUntil
        return when {
            heartbeatNeeded -> others + heartbeatRequest(starts.first())
            others.any { it is Command.Stop } -> others
            else -> emptyList()
        }
    }

    private fun heartbeatRequest(start: Command) = Command.RequestHeartbeat(start.task.job, start.attempt)

    /**
     * Returns the commands due for [machine] and the given [unknownTaskCommands], at most [MAX_COMMANDS_PER_MESSAGE]. Stops come first,
     * since they free capacity and may be urgent.
     */
    fun dueCommands(machine: Machine, unknownTaskCommands: List<Command>, now: MonotonicTime): List<Command> {
        val commands = ArrayList(unknownTaskCommands)
        for (run in machine.runs) runCommand(run, now)?.let(commands::add)
        return commands.sortedBy { COMMAND_ORDER.indexOf(it::class) }.take(MAX_COMMANDS_PER_MESSAGE)
    }

    /** Returns the commands due for tasks that [machine]'s worker reports without a run being bound to the machine. */
    fun unknownTaskCommands(machine: Machine, now: MonotonicTime): List<Command> = machine.reportedTasks
        .filter { machine.runOf(it) == null }
        .mapNotNull { unknownTaskCommand(machine, it, now) }

    /** An unknown task is stopped while it runs, and removed once it has exited. */
    private fun unknownTaskCommand(machine: Machine, reported: ReportedTask, now: MonotonicTime): Command? {
        if (reported.state != ReportedTaskState.EXITED) {
            audit.recordUnknownTask(machine.name, machine.epoch, reported)
            return Command.Stop(reported.task, reported.attempt, NO_GRACE_SECONDS)
        }
        val channel = machine.channel
        val removable = !channel.startMayTakeEffect(reported.task, reported.attempt, now) &&
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

    /** Returns the time that the task may take to save a checkpoint; zero for a cancelled task. */
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
                is Command.Start -> {
                    run?.startSentAt = now
                    machine.channel.recordStartSent(command.task, command.attempt, now)
                }
                is Command.Stop -> run?.stopSentAt = now
                is Command.Remove -> machine.channel.recordRemovalSent(command.attempt, now)
                is Command.RequestHeartbeat -> Unit
            }
        }
        if (commands.any { it is Command.Start || it is Command.RequestHeartbeat }) machine.channel.expectHeartbeat(now)
    }

    companion object {
        /** The time after which a command without effect is sent again. */
        val RESEND_INTERVAL = 1000.milliseconds
        private const val MAX_COMMANDS_PER_MESSAGE = 200
        private const val NO_GRACE_SECONDS = 0.0
        private val COMMAND_ORDER =
            listOf(Command.Stop::class, Command.Remove::class, Command.Start::class, Command.RequestHeartbeat::class)
    }
}

/** Returns these commands without the stops that [others] contains. Stops of the same task and attempt count as equal. */
internal fun List<Command>.withoutStopsIn(others: List<Command>): List<Command> = filterNot { command ->
    command is Command.Stop && others.any { it is Command.Stop && it.task == command.task && it.attempt == command.attempt }
}
