package copperglade.tasks

import copperglade.protocol.Heartbeat

/**
 * The order of a machine's heartbeats, by agent epoch and sequence number: which are duplicates, which may be from before the
 * worker restarted, and which are news.
 *
 * Heartbeats may arrive minutes late and more than once. A worker that has restarted may count from the start again, so numbers
 * alone don't tell an old heartbeat from a new one; then only replies to the owner's own commands do.
 */
class HeartbeatSequence {
    private class Position(val epoch: Long, val sequenceNumber: Long)

    /** The newest that was accepted, of heartbeats and replies to commands together. */
    private var accepted = START

    /** The newest heartbeat that the worker itself sent. */
    private var lastHeartbeat = START

    /** Heartbeats up to here may be from before the worker restarted. */
    private var unverifiedUpTo = START

    /** The agent epoch of the newest accepted heartbeat or reply. */
    val epoch: Long get() = accepted.epoch

    /**
     * Whether [heartbeat] is no newer than one that the worker has sent already. A worker has one heartbeat in flight at a time,
     * so it no longer waits for the response to this one.
     */
    fun isDuplicate(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(lastHeartbeat)

    /** Whether [heartbeat] may be from before the worker restarted. */
    fun isUnverified(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(unverifiedUpTo)

    /** Whether [heartbeat], or the reply to a command, is newer than all that was accepted. */
    fun isNewerThanAccepted(heartbeat: Heartbeat): Boolean = heartbeat.isNewerThan(accepted)

    /** Records that the worker itself sent [heartbeat] and waits for the response. */
    fun recordHeartbeat(heartbeat: Heartbeat) {
        lastHeartbeat = heartbeat.position()
    }

    /** Records that [heartbeat], or the reply to a command, was accepted. */
    fun accept(heartbeat: Heartbeat) {
        accepted = heartbeat.position()
    }

    /** Records that the worker has restarted and counts from the start again: what it sent before is unverified from now on. */
    fun restart() {
        markUnverifiedUpTo(accepted.epoch, accepted.sequenceNumber)
        markUnverifiedUpTo(lastHeartbeat.epoch, lastHeartbeat.sequenceNumber)
        lastHeartbeat = START
    }

    /** Heartbeats up to [epoch] and [sequenceNumber] may be from before the worker restarted. Never lowers the bound. */
    fun markUnverifiedUpTo(epoch: Long, sequenceNumber: Long) {
        val bound = unverifiedUpTo
        if (epoch < bound.epoch || (epoch == bound.epoch && sequenceNumber <= bound.sequenceNumber)) return
        unverifiedUpTo = Position(epoch, sequenceNumber)
    }

    private fun Heartbeat.isNewerThan(position: Position) = isNewerThan(position.epoch, position.sequenceNumber)

    private fun Heartbeat.position() = Position(epoch, sequenceNumber)

    private companion object {
        /** Lower than every heartbeat. */
        val START = Position(epoch = 0, sequenceNumber = -1)
    }
}
