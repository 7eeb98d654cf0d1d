package copperglade.coordination

import copperglade.protocol.MachineName
import copperglade.protocol.Report

/**
 * Machines that were removed, so that late copies of their reports bring none of them back. Reports may arrive minutes
 * after they were sent; one of a machine that is gone would otherwise look like a machine with room.
 */
class RemovedMachines {
    /** The highest session that a report may be of and still be old. */
    private val sessions = object : LinkedHashMap<MachineName, Long>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<MachineName, Long>?) = size > MOST
    }

    /** Its lease has surely run out: if it lives, it is in a later session. */
    fun expired(machine: MachineName, session: Long) {
        sessions.remove(machine)
        sessions[machine] = session
    }

    /** Deleted; names are never given again. */
    fun deleted(machine: MachineName) = expired(machine, Long.MAX_VALUE)

    fun knows(machine: MachineName): Boolean = machine in sessions

    fun sessionOf(machine: MachineName): Long = sessions[machine] ?: 0L

    /** Whether [report] is from before the removal, or of a machine that counts from the start again. */
    fun covers(report: Report): Boolean = sessions[report.machine]?.let { report.session <= it } ?: false

    /** Whether nothing can ever be heard of the machine again. */
    fun forGood(machine: MachineName): Boolean = sessions[machine] == Long.MAX_VALUE

    fun isBack(machine: MachineName) {
        sessions.remove(machine)
    }

    private companion object {
        const val MOST = 2000
    }
}
