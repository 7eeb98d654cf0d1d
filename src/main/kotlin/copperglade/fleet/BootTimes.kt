package copperglade.fleet

import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MachineStatus
import copperglade.protocol.MachineType
import kotlin.math.max
import kotlin.math.min

/**
 * How long machines take to come up, by what the cloud's list has shown of each type.
 *
 * Some machines take several times as long as usual, and a few never come up. One that is overdue no longer counts as on its
 * way, so that another is rented in its place; if it comes up after all it is used, or returned as idle.
 */
class BootTimes {
    private val booting = HashSet<MachineName>()
    private val recentS = HashMap<String, ArrayDeque<Double>>()

    /** Takes note of which machines have come up since the last list. */
    fun observe(machines: Map<MachineName, ListedMachine>) {
        for (machine in machines.values) {
            if (machine.status == MachineStatus.BOOTING) {
                booting += machine.name
            } else if (booting.remove(machine.name) && machine.status == MachineStatus.RUNNING) {
                remember(machine)
            }
        }
        booting.retainAll(machines.keys)
    }

    private fun remember(machine: ListedMachine) {
        val recent = recentS.getOrPut(machine.type) { ArrayDeque() }
        recent.addLast(machine.ageSeconds)
        if (recent.size > REMEMBERED) recent.removeFirst()
    }

    /** From which age on a machine of [type] that is still booting is not reckoned with any more. */
    fun overdueAfterS(type: MachineType): Double {
        val slow = recentS[type.name]?.sorted()?.let { it[(it.size * SLOW_QUANTILE).toInt().coerceAtMost(it.lastIndex)] } ?: 0.0
        return min(max(type.bootSeconds * USUAL_MAX, slow * SLOWER_THAN_SLOW), type.bootSeconds * MAX) + SLACK_S
    }

    private companion object {
        const val REMEMBERED = 20
        const val SLOW_QUANTILE = 0.9
        const val SLOWER_THAN_SLOW = 1.2

        /** By the protocol, boots usually take up to this many times what their type says. */
        const val USUAL_MAX = 1.5

        /** Waiting for longer than this costs more than a machine rented in vain, whatever has been seen. */
        const val MAX = 3.0

        /** The list is some seconds old. */
        const val SLACK_S = 5.0
    }
}
