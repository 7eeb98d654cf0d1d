package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.MachineType
import copperglade.protocol.MonotonicTime
import kotlin.math.ceil

/** Chooses and requests machines for missing CPUs. */
internal class ScaleOut(private val cloud: CloudMachines, private val types: MachineTypeCatalog) {
    private class Offer(val kind: MachineKind, val type: MachineType)

    /**
     * Requests machines with about [cpus] CPUs in total, and returns the number of CPUs requested.
     *
     * Kinds with the lowest price per CPU come first, and among equal prices the kinds that [inventory] has fewest of. The machines of
     * a type are spread over its zones.
     */
    fun rent(
        cpus: Double,
        spot: Boolean,
        inventory: FleetInventory,
        now: MonotonicTime,
        isAllowed: (MachineKind) -> Boolean = { true },
    ): Double {
        val offers = types.all
            .flatMap { type -> type.zones.map { Offer(MachineKind(type.name, it, spot), type) } }
            .filter { isAllowed(it.kind) && cloud.isAvailable(it.kind, now) }
            .sortedWith(compareBy({ pricePerCpu(it.type, spot) }, { inventory.countOf(it.kind) }))
        var missingCpus = cpus
        var requestedCpus = 0.0
        for (offer in offers) {
            if (missingCpus <= 0) break
            val type = offer.type
            val zones = offers.count { it.type === type }
            val count = ceil(missingCpus / type.capacity.cpus / zones).toInt().coerceIn(1, CloudApiCodec.MAX_MACHINES_PER_RENTAL)
            if (!cloud.rent(offer.kind, count, now)) break
            missingCpus -= count * type.capacity.cpus
            requestedCpus += count * type.capacity.cpus
        }
        return requestedCpus
    }

    private fun pricePerCpu(type: MachineType, spot: Boolean) = (if (spot) type.spotPrice else type.price) / type.capacity.cpus
}
