package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.TaskId
import kotlin.time.Duration.Companion.seconds

/** A start that was sent with a heartbeat response, which the worker may accept until [expiresAt]. */
private class PendingStart(val task: TaskId, val attempt: Attempt, val expiresAt: MonotonicTime)

/**
 * The commands sent to a machine's worker: the direct command in flight, removals, and starts that may still take effect.
 *
 * This class decides how long a start may take effect. Starts go only with heartbeat responses. A worker has one heartbeat in flight,
 * accepts the response only for 4 s and only in the session that sent the heartbeat, and no other incarnation of it gets the response. A
 * direct message in contrast may be executed again at any later time, also by a worker that has restarted since.
 */
class CommandChannel {
    /** Whether a direct command is in flight: sent, and neither answered nor timed out. */
    var commandInFlight = false
        private set

    /** When the last direct command was sent. */
    var commandSentAt = MonotonicTime.NEVER
        private set

    /**
     * Since when direct commands have gone unanswered; null if the last one was answered. While this is set, no tasks are placed on the
     * machine.
     */
    var unresponsiveSince: MonotonicTime? = null
        private set

    val unresponsive: Boolean get() = unresponsiveSince != null
    private val pendingStarts = ArrayList<PendingStart>()
    private val removalSentAt = HashMap<Attempt, MonotonicTime>()

    /** When a removal of any task was last sent. */
    var lastRemovalSentAt = MonotonicTime.NEVER
        private set

    /** Until when a heartbeat is due without a request, because commands have changed the worker's tasks. */
    var heartbeatDueUntil = MonotonicTime.NEVER
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

    /** Records that commands that change the worker's tasks are being sent: the worker sends a heartbeat within half a second. */
    fun expectHeartbeat(now: MonotonicTime) {
        heartbeatDueUntil = now + HEARTBEAT_AFTER_CHANGE
    }

    /** Records that the response to a heartbeat is being composed: the next heartbeat is not due before the worker's interval. */
    fun recordHeartbeatAnswered() {
        heartbeatDueUntil = MonotonicTime.NEVER
    }

    /** Records that the removal of [attempt] is being sent. */
    fun recordRemovalSent(attempt: Attempt, now: MonotonicTime) {
        removalSentAt[attempt] = now
        lastRemovalSentAt = now
    }

    /** Returns when the removal of [attempt] was last sent, or [MonotonicTime.NEVER]. */
    fun removalSentAt(attempt: Attempt): MonotonicTime = removalSentAt[attempt] ?: MonotonicTime.NEVER

    /** Drops the removals of the attempts that are not among [reportedTasks]: they were executed. */
    fun discardExecutedRemovals(reportedTasks: List<ReportedTask>) {
        removalSentAt.keys.removeIf { attempt -> reportedTasks.none { it.attempt == attempt } }
    }

    /** Records that the start of [attempt] at [task] is being sent with a heartbeat response. */
    fun recordStartSent(task: TaskId, attempt: Attempt, now: MonotonicTime) {
        pendingStarts.removeIf { now >= it.expiresAt }
        pendingStarts += PendingStart(task, attempt, now + RESPONSE_LIFETIME)
    }

    /** Whether a start of [attempt] at [task] that was sent before may still take effect at [now] or later. */
    fun startMayTakeEffect(task: TaskId, attempt: Attempt, now: MonotonicTime): Boolean =
        pendingStarts.any { it.attempt == attempt && it.task == task && now < it.expiresAt }

    private companion object {
        /** Workers drop responses that arrive later than 4 s after their heartbeat was sent; clock drift included. */
        val RESPONSE_LIFETIME = 5.seconds

        /** A worker reports a change at most half a second later; the message to the worker and the heartbeat take time as well. */
        val HEARTBEAT_AFTER_CHANGE = 1.seconds
    }
}
