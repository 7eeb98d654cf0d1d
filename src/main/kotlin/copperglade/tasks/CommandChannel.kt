package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.FencingToken
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.TaskId

/**
 * A start command whose outcome is unknown. A late copy of it may still take effect while agent epoch and fencing token match.
 *
 * @param epoch the agent epoch for which the command was sent.
 * @param expiresAt when the worker drops the command if it has not arrived; null where it may take effect at any later time.
 */
class UnresolvedStart(
    val task: TaskId,
    val attempt: Attempt,
    val epoch: Long,
    val fencingToken: FencingToken,
    val sentAt: MonotonicTime,
    val expiresAt: MonotonicTime?,
)

/** What was sent to a machine's worker: the direct command in flight, removals, and starts whose outcome is unknown. */
class CommandChannel {
    /** Whether a direct command has been sent and neither answered nor timed out. */
    var commandInFlight = false
        private set

    /** When the last direct command was sent. */
    var commandSentAt = MonotonicTime.NEVER
        private set

    /** Since when direct commands have gone unanswered; until one is answered, commands are sent with heartbeat responses as well. */
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
    fun commandSent(now: MonotonicTime) {
        commandInFlight = true
        commandSentAt = now
    }

    /** Records that the direct command in flight was answered. */
    fun commandAnswered() {
        commandInFlight = false
        unresponsiveSince = null
    }

    /** Records that the direct command in flight has timed out; [now] is read only for the first in a row. */
    fun commandTimedOut(now: () -> MonotonicTime) {
        commandInFlight = false
        unresponsiveSince = unresponsiveSince ?: now()
    }

    /** Records that the removal of [attempt] is being sent. */
    fun removalSent(attempt: Attempt, now: MonotonicTime) {
        removalSentAt[attempt] = now
        lastRemovalSentAt = now
    }

    /** When the removal of [attempt] was last sent, or [MonotonicTime.NEVER]. */
    fun removalSentAt(attempt: Attempt): MonotonicTime = removalSentAt[attempt] ?: MonotonicTime.NEVER

    /** Whether a start of [attempt] at [task] may still take effect late. */
    fun hasUnresolvedStart(task: TaskId, attempt: Attempt): Boolean = unresolved.any { it.attempt == attempt && it.task == task }

    /** Adds [starts], which are being sent. */
    fun addUnresolved(starts: List<UnresolvedStart>) {
        unresolved += starts
    }

    /** Drops [starts], whose outcome is known now. */
    fun resolve(starts: List<UnresolvedStart>) {
        unresolved.removeAll(starts.toSet())
    }

    /** Drops starts that the worker would refuse or ignore by [now], had they not arrived. */
    fun discardExpired(now: MonotonicTime) {
        unresolved.removeIf { it.expiresAt != null && now >= it.expiresAt }
    }

    /** Drops what is settled once the worker has reported [reportedTasks] in agent epoch [epoch] under [fencingToken]. */
    fun discardResolved(epoch: Long, fencingToken: FencingToken, reportedTasks: List<ReportedTask>) {
        unresolved.removeIf { it.epoch < epoch || it.fencingToken < fencingToken }
        removalSentAt.keys.removeIf { attempt -> reportedTasks.none { it.attempt == attempt } }
    }
}
