package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.hours

/**
 * Machines that were removed, so that late copies of their reports bring none of them back. Reports may arrive minutes
 * after they were sent; one of a machine that is gone would otherwise look like a machine with room.
 *
 * Each is remembered for [RETENTION], however many there are: a bound on their number would forget the first of them while late
 * copies still come, just when a large part of the fleet is lost at once.
 */
class RemovedMachines(private val clock: Clock) {
    private class Removal(val epoch: Long, val at: MonotonicTime)

    /** The highest session that a report may be of and still be old; the oldest removal first. */
    private val removals = LinkedHashMap<MachineName, Removal>()

    val size: Int get() = removals.size

    /** Its lease has surely run out: if it lives, it is in a later session. */
    fun expired(machine: MachineName, epoch: Long) {
        removals.remove(machine)
        removals[machine] = Removal(epoch, clock.now())
        forgetOldest()
    }

    private fun forgetOldest() {
        val now = clock.now()
        val oldest = removals.values.iterator()
        while (oldest.hasNext() && now >= oldest.next().at + RETENTION) oldest.remove()
    }

    /** Deleted; names are never given again. */
    fun deleted(machine: MachineName) = expired(machine, Long.MAX_VALUE)

    fun knows(machine: MachineName): Boolean = machine in removals

    fun epochOf(machine: MachineName): Long = removals[machine]?.epoch ?: 0L

    /** Whether [heartbeat] is from before the removal, or of a machine that counts from the start again. */
    fun covers(heartbeat: Heartbeat): Boolean = removals[heartbeat.machine]?.let { heartbeat.epoch <= it.epoch } ?: false

    /** Whether nothing can ever be heard of the machine again. */
    fun isPermanent(machine: MachineName): Boolean = removals[machine]?.epoch == Long.MAX_VALUE

    fun forget(machine: MachineName) {
        removals.remove(machine)
    }

    private companion object {
        /** Far longer than any message was ever held up. */
        val RETENTION = 1.hours
    }
}
