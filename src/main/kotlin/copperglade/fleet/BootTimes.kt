package copperglade.fleet

import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MachineStatus
import copperglade.protocol.MachineType
import kotlin.math.max
import kotlin.math.min

/**
 * The boot times of each machine type, as observed in the cloud's listings.
 *
 * Some machines take several times as long to boot as most, and a few never come up. An overdue machine no longer counts towards the
 * fleet's capacity, so that another is rented in its place. An overdue machine that comes up later is used, or scaled in as idle.
 */
internal class BootTimes {
    private val booting = HashSet<MachineName>()
    private val recentBootSeconds = HashMap<String, ArrayDeque<Double>>()

    /** Records the boot times of [machines] that have come up since the last listing. */
    fun observe(machines: Map<MachineName, ListedMachine>) {
        for (machine in machines.values) {
            if (machine.status == MachineStatus.BOOTING) {
                booting += machine.name
            } else if (booting.remove(machine.name) && machine.status == MachineStatus.RUNNING) {
                record(machine)
            }
        }
        booting.retainAll(machines.keys)
    }

    /** Whether [machine], which is of [type], has been booting for so long that another should be rented in its place. */
    fun isOverdue(machine: ListedMachine, type: MachineType): Boolean =
        machine.status == MachineStatus.BOOTING && machine.ageSeconds > overdueAfterSeconds(type)

    private fun record(machine: ListedMachine) {
        val recent = recentBootSeconds.getOrPut(machine.type) { ArrayDeque() }
        recent.addLast(machine.ageSeconds)
        if (recent.size > MAX_SAMPLES_PER_TYPE) recent.removeFirst()
    }

    private fun overdueAfterSeconds(type: MachineType): Double {
        val slowBootSeconds = recentBootSeconds[type.name]
            ?.sorted()
            ?.let { it[(it.size * SLOW_QUANTILE).toInt().coerceAtMost(it.lastIndex)] } ?: 0.0
        val expectedSeconds = max(type.bootSeconds * COMMON_MAX_BOOT_FACTOR, slowBootSeconds * SLOW_BOOT_MARGIN)
        return min(expectedSeconds, type.bootSeconds * MAX_BOOT_FACTOR) + LISTING_DELAY_SECONDS
    }

    private companion object {
        const val MAX_SAMPLES_PER_TYPE = 20
        const val SLOW_QUANTILE = 0.9
        const val SLOW_BOOT_MARGIN = 1.2

        /** By the cloud's protocol, boots commonly take up to this multiple of the boot time stated for the machine type. */
        const val COMMON_MAX_BOOT_FACTOR = 1.5

        /** Beyond this multiple, waiting costs more than renting a machine in vain, whatever boot times were observed. */
        const val MAX_BOOT_FACTOR = 3.0
        const val LISTING_DELAY_SECONDS = 5.0
    }
}
