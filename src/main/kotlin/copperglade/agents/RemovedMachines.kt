package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.hours

/**
 * Machines that were removed from a shard, kept so that late copies of their heartbeats don't add them again. A heartbeat may arrive
 * minutes after it was sent; a removed machine's heartbeat would otherwise be taken for a machine with free capacity.
 *
 * Each removal is kept for [RETENTION], without a limit on the number of machines. If a large part of the fleet is lost at once, a
 * limit would evict the first of these machines while late copies of their heartbeats still arrive.
 */
class RemovedMachines(private val clock: Clock) {
    private class Removal(val epoch: Long, val removedAt: MonotonicTime)

    /** In the order of removal, oldest first. */
    private val removals = LinkedHashMap<MachineName, Removal>()

    /** The number of machines whose removal is kept. */
    val size: Int get() = removals.size

    /** Records that the lease of [machine] has certainly expired: if its worker is alive, its agent epoch is later than [epoch]. */
    fun recordExpired(machine: MachineName, epoch: Long) {
        removals.remove(machine)
        removals[machine] = Removal(epoch, clock.now())
        evictOldRemovals()
    }

    private fun evictOldRemovals() {
        val now = clock.now()
        val iterator = removals.values.iterator()
        while (iterator.hasNext() && now >= iterator.next().removedAt + RETENTION) iterator.remove()
    }

    /** Records that [machine] was deleted; machine names are never reused. */
    fun recordDeleted(machine: MachineName) = recordExpired(machine, DELETED_EPOCH)

    /** Whether [machine] was removed. */
    fun isRemoved(machine: MachineName): Boolean = machine in removals

    /** Returns the agent epoch in which [machine] was removed; 0 if it was not. */
    fun removalEpochOf(machine: MachineName): Long = removals[machine]?.epoch ?: 0L

    /** Whether [heartbeat] is from before its machine's removal, or from a restarted worker that has reset its agent epoch. */
    fun predatesRemoval(heartbeat: Heartbeat): Boolean = removals[heartbeat.machine]?.let { heartbeat.epoch <= it.epoch } ?: false

    /** Whether [machine] was deleted, so that it can't be added again. */
    fun isDeleted(machine: MachineName): Boolean = removals[machine]?.epoch == DELETED_EPOCH

    /** Drops the removal of [machine], which has been added to the shard again. */
    fun remove(machine: MachineName) {
        removals.remove(machine)
    }

    private companion object {
        /** Far longer than the delay of any message. */
        val RETENTION = 1.hours

        /** The epoch recorded for deleted machines: all of their heartbeats count as sent before the removal. */
        const val DELETED_EPOCH = Long.MAX_VALUE
    }
}
