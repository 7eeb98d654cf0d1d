package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.FencingToken
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.TaskId

/**
 * A start command whose outcome is unknown. A late copy of the command may still take effect while the worker's agent epoch and
 * fencing token match those of the command.
 *
 * @param epoch the agent epoch for which the command was sent.
 * @param expiresAt from when on the worker drops a command that arrives late; null for a direct command, which may take effect at any
 *   later time.
 */
class UnresolvedStart(
    val task: TaskId,
    val attempt: Attempt,
    val epoch: Long,
    val fencingToken: FencingToken,
    val sentAt: MonotonicTime,
    val expiresAt: MonotonicTime?,
) {
    /** Whether this start was sent with a direct command that is neither answered nor timed out. */
    var inFlight = expiresAt == null
        private set

    /** Records that the direct command was answered or has timed out. */
    fun recordCommandEnded() {
        inFlight = false
    }
}

/** The commands sent to a machine's worker: the direct command in flight, removals, and starts whose outcome is unknown. */
class CommandChannel {
    /** Whether a direct command is in flight: sent, and neither answered nor timed out. */
    var commandInFlight = false
        private set

    /** When the last direct command was sent. */
    var commandSentAt = MonotonicTime.NEVER
        private set

    /**
     * Since when direct commands have gone unanswered; null if the last one was answered. While this is set, commands are sent with
     * heartbeat responses as well.
     */
    var unresponsiveSince: MonotonicTime? = null
        private set

    val unresponsive: Boolean get() = unresponsiveSince != null
    private val unresolved = ArrayList<UnresolvedStart>()

    /** Starts whose outcome is unknown, in the order in which they were sent. */
    val unresolvedStarts: List<UnresolvedStart> get() = unresolved
    private val removalSentAt = HashMap<Attempt, MonotonicTime>()

    /** When a removal of any task was last sent. */
    var lastRemovalSentAt = MonotonicTime.NEVER
        private set

    /** Records that a direct command is being sent. */
    fun recordCommandSent(now: MonotonicTime) {
        commandInFlight = true
        commandSentAt = now
    }

    /** Records that the direct command in flight was answered. */
    fun recordCommandAnswered() {
        commandInFlight = false
        unresponsiveSince = null
    }

    /** Records that the direct command in flight has timed out; [now] is read only for the first timeout in a row. */
    fun recordCommandTimedOut(now: () -> MonotonicTime) {
        commandInFlight = false
        unresponsiveSince = unresponsiveSince ?: now()
    }

    /** Records that the removal of [attempt] is being sent. */
    fun recordRemovalSent(attempt: Attempt, now: MonotonicTime) {
        removalSentAt[attempt] = now
        lastRemovalSentAt = now
    }

    /** Returns when the removal of [attempt] was last sent, or [MonotonicTime.NEVER]. */
    fun removalSentAt(attempt: Attempt): MonotonicTime = removalSentAt[attempt] ?: MonotonicTime.NEVER

    /** Whether a start of [attempt] at [task] is unresolved, so that a late copy of the start may still take effect. */
    fun hasUnresolvedStart(task: TaskId, attempt: Attempt): Boolean = unresolved.any { it.attempt == attempt && it.task == task }

    /** Whether a direct command that starts [attempt] at [task] is in flight. */
    fun hasStartInFlight(
        task: TaskId,
        attempt: Attempt,
    ): Boolean = unresolved.any { it.inFlight && it.attempt == attempt && it.task == task }

    /** Whether any direct start is in flight. */
    val hasStartInFlight: Boolean get() = unresolved.any { it.inFlight }

    /** Adds [starts], which are being sent. */
    fun addUnresolved(starts: List<UnresolvedStart>) {
        unresolved += starts
    }

    /** Drops [starts], whose outcome has become known. */
    fun resolve(starts: List<UnresolvedStart>) {
        unresolved.removeAll(starts.toSet())
    }

    /** Drops the starts that have expired by [now]: the worker would refuse or ignore a copy that arrives now. */
    fun discardExpired(now: MonotonicTime) {
        unresolved.removeIf { it.expiresAt != null && now >= it.expiresAt }
    }

    /**
     * Drops what an accepted heartbeat has resolved: starts for an earlier agent epoch than [epoch] or under a lower token than
     * [fencingToken], and the removals of attempts that are not among [reportedTasks].
     */
    fun discardResolved(epoch: Long, fencingToken: FencingToken, reportedTasks: List<ReportedTask>) {
        unresolved.removeIf { it.epoch < epoch || it.fencingToken < fencingToken }
        removalSentAt.keys.removeIf { attempt -> reportedTasks.none { it.attempt == attempt } }
    }
}
