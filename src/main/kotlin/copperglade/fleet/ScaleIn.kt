package copperglade.fleet

import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.storage.Replica

/** Chooses the machines that the shard owners should delete. */
internal class ScaleIn(
    private val replica: Replica,
    private val types: MachineTypeCatalog,
    private val settings: AutoscalerSettings,
) {
    /** The machines that are idle and not worth keeping, regardless of demand. */
    fun unusable(machines: Collection<MachineAvailability>): List<MachineName> =
        machines.filter { !it.worthKeeping && it.idleMillis > MIN_UNUSABLE_IDLE_MILLIS }.map { it.name }

    /**
     * The [unusable] machines, and machines that have been idle for long, as far as the rest of [inventory] covers [target].
     * The longer replacing a machine takes, the longer an idle machine is kept.
     */
    fun choose(
        machines: Collection<MachineAvailability>,
        inventory: FleetInventory,
        target: Demand,
        replacementSeconds: Double,
    ): List<MachineName> {
        val chosen = ArrayList<MachineName>()
        chosen += unusable(machines)
        var onDemandCpus = inventory.onDemandCpus
        var spotCpus = inventory.spotCpus
        // Capacity that waiting tasks could use now is not idle, even if it takes a while to assign them.
        var surplusCpus = machines.filter { it.usable }.sumOf { it.free.cpus } -
            DemandEstimate.backlogCpus(replica.jobs.values, settings.teams)
        for (machine in idle(machines, replacementSeconds)) {
            val cpus = types[machine.type]?.capacity?.cpus ?: continue
            if (surplusCpus < cpus) break
            val remainingOnDemandCpus = onDemandCpus - if (machine.spot) 0.0 else cpus
            val remainingSpotCpus = spotCpus - if (machine.spot) cpus else 0.0
            if (!suffices(remainingOnDemandCpus, remainingSpotCpus, target)) continue
            surplusCpus -= cpus
            onDemandCpus = remainingOnDemandCpus
            spotCpus = remainingSpotCpus
            chosen += machine.name
        }
        return chosen
    }

    /** The machines that have been idle for long, on-demand machines first. */
    private fun idle(machines: Collection<MachineAvailability>, replacementSeconds: Double): List<MachineAvailability> {
        val minIdleMillis = replacementSeconds * settings.operatorSettings.minIdleReplacementTimes * MILLIS_PER_SECOND
        return machines
            .filter { it.usable && it.idleMillis >= minIdleMillis }
            .sortedWith(compareBy({ it.spot }, { it.name.text }))
    }

    /** Whether the given CPUs cover [target]; on-demand machines also take work that may use spot machines. */
    private fun suffices(onDemandCpus: Double, spotCpus: Double, target: Demand): Boolean {
        val spareCpus = onDemandCpus - target.onDemandCpus
        return spareCpus >= 0.0 && spotCpus + spareCpus >= target.spotCpus
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val MIN_UNUSABLE_IDLE_MILLIS = 3000L
    }
}
