package copperglade.tasks

import copperglade.protocol.Heartbeat

/**
 * Orders a machine's heartbeats by agent epoch and sequence number: finds duplicates, heartbeats that may be from before the worker
 * restarted, and heartbeats that are newer than all accepted ones.
 *
 * Heartbeats may arrive minutes late and more than once. A restarted worker may reset its agent epoch and sequence number, so these
 * numbers alone don't distinguish an old heartbeat from a new one. After a restart only replies to the owner's own commands do.
 */
class HeartbeatSequence {
    private class Position(val epoch: Long, val sequenceNumber: Long)

    /** The newest accepted position, of heartbeats and replies to commands together. */
    private var accepted = START

    /** The newest heartbeat that the worker sent on its own, not in reply to a command. */
    private var lastHeartbeat = START

    /** Heartbeats up to this position may be from before the worker restarted. */
    private var unverifiedUpTo = START

    /** The agent epoch of the newest accepted heartbeat or reply. */
    val epoch: Long get() = accepted.epoch

    /**
     * Whether [heartbeat] is no newer than the worker's last heartbeat. A worker has one heartbeat in flight at a time, so the worker
     * no longer waits for the response to a duplicate.
     */
    fun isDuplicate(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(lastHeartbeat)

    /** Whether [heartbeat] may be from before the worker restarted. */
    fun isUnverified(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(unverifiedUpTo)

    /** Whether [heartbeat], sent by the worker on its own or in reply to a command, is newer than all accepted ones. */
    fun isNewerThanAccepted(heartbeat: Heartbeat): Boolean = heartbeat.isNewerThan(accepted)

    /** Records that the worker sent [heartbeat] on its own and waits for the response. */
    fun recordHeartbeat(heartbeat: Heartbeat) {
        lastHeartbeat = heartbeat.position()
    }

    /** Records that [heartbeat], sent by the worker on its own or in reply to a command, was accepted. */
    fun accept(heartbeat: Heartbeat) {
        accepted = heartbeat.position()
    }

    /**
     * Records that the worker has restarted and reset its numbers. All heartbeats of its former agent epochs become unverified: the last
     * ones that it sent may still arrive, with higher numbers than all that were received.
     */
    fun onWorkerRestarted() {
        markUnverified(maxOf(accepted.epoch, lastHeartbeat.epoch))
        lastHeartbeat = START
    }

    /** Marks all heartbeats of agent epochs up to [epoch] as possibly from before the worker's restart. Never lowers the bound. */
    fun markUnverified(epoch: Long) = markUnverifiedUpTo(epoch, Long.MAX_VALUE)

    private fun markUnverifiedUpTo(epoch: Long, sequenceNumber: Long) {
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
