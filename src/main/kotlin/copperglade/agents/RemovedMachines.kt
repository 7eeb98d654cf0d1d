package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.hours

/**
 * Machines that were removed from a shard, so that late copies of their heartbeats don't bring them back. A heartbeat may arrive
 * minutes after it was sent; one of a machine that is gone would otherwise look like a machine with free capacity.
 *
 * Each is remembered for [RETENTION], however many there are: a bound on their number would forget the first of them while late
 * copies still arrive, just when a large part of the fleet is lost at once.
 */
class RemovedMachines(private val clock: Clock) {
    private class Removal(val epoch: Long, val at: MonotonicTime)

    /** The oldest removal first. */
    private val removals = LinkedHashMap<MachineName, Removal>()

    /** How many removed machines are remembered. */
    val size: Int get() = removals.size

    /** Records that the lease of [machine] has certainly expired: if it lives, it is in a later agent epoch than [epoch]. */
    fun recordExpired(machine: MachineName, epoch: Long) {
        removals.remove(machine)
        removals[machine] = Removal(epoch, clock.now())
        evictOldRemovals()
    }

    private fun evictOldRemovals() {
        val now = clock.now()
        val oldest = removals.values.iterator()
        while (oldest.hasNext() && now >= oldest.next().at + RETENTION) oldest.remove()
    }

    /** Records that [machine] was deleted; machine names are never reused. */
    fun recordDeleted(machine: MachineName) = recordExpired(machine, DELETED_EPOCH)

    /** Whether [machine] was removed. */
    fun isRemoved(machine: MachineName): Boolean = machine in removals

    /** The agent epoch in which [machine] was removed; 0 where it was not. */
    fun removalEpochOf(machine: MachineName): Long = removals[machine]?.epoch ?: 0L

    /** Whether [heartbeat] is from before its machine's removal, or from a worker that counts from the start again. */
    fun predatesRemoval(heartbeat: Heartbeat): Boolean = removals[heartbeat.machine]?.let { heartbeat.epoch <= it.epoch } ?: false

    /** Whether [machine] was deleted and can never come back. */
    fun isDeleted(machine: MachineName): Boolean = removals[machine]?.epoch == DELETED_EPOCH

    /** Records that [machine] is back. */
    fun remove(machine: MachineName) {
        removals.remove(machine)
    }

    private companion object {
        /** Far longer than any message is ever held up. */
        val RETENTION = 1.hours

        /** In place of an agent epoch: every heartbeat is from before the removal. */
        const val DELETED_EPOCH = Long.MAX_VALUE
    }
}
