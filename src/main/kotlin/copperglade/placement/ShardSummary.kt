package copperglade.placement

import copperglade.agents.MachineHealth
import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineType
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Resources
import copperglade.protocol.ShardCapacity
import copperglade.storage.ImageRecord
import copperglade.tasks.FailingJobs
import copperglade.tasks.Machine
import copperglade.tasks.ShardState
import copperglade.transport.Clock

/**
 * Describes a shard's machines to others: their free and preemptible capacity to the leader, their cached images to a
 * later owner. Both are hints; whoever acts on one checks it against the records first.
 */
class ShardSummary(
    private val state: ShardState,
    private val health: MachineHealth,
    private val types: MachineTypeCatalog,
    private val failingJobs: FailingJobs,
    private val clock: Clock,
) {
    /**
     * The capacity of the shard's fenced machines. A machine whose worker has not seen our token is left out, since what
     * it reports may still change by a former owner's commands.
     */
    fun capacity(): ShardCapacity {
        val now = clock.now()
        val waiting = state.runs.waiting
            .filter { now >= it.earliestStartAt && it.task.job !in failingJobs }
            .mapTo(ArrayList()) { it.spec.request }
        val rooms = state.machines.values.filter(state::isFenced).mapNotNull { machine ->
            types[machine.typeName]?.let { roomOf(machine, it, waiting, now) }
        }
        return ShardCapacity(state.name, state.fencingToken, rooms)
    }

    private fun roomOf(machine: Machine, type: MachineType, waiting: MutableList<Resources>, now: MonotonicTime): MachineAvailability {
        val free = freeBeside(waiting, machine.freeCapacity(type, now, state::requestOf))
        return MachineAvailability(
            name = machine.name,
            type = machine.typeName,
            zone = machine.zone,
            spot = machine.spot,
            usable = health.isUsable(machine, now),
            worthKeeping = health.isWorthKeeping(machine, now),
            idleMillis = if (machine.isEmpty) now.ms - machine.idleSince.ms else 0,
            free = free,
            preemptible = machine.runs.preemptibleCapacity().byPriority,
            images = machine.cachedImages,
        )
    }

    /** What of [free] is left for new tasks: those waiting here take their room first, and are taken off [waiting]. */
    private fun freeBeside(waiting: MutableList<Resources>, free: Resources): Resources {
        var left = free
        val next = waiting.iterator()
        while (next.hasNext()) {
            val request = next.next()
            if (!request.fitsIn(left)) continue
            left -= request
            next.remove()
        }
        return left
    }

    /** The images of the shard's machines, as many as fit into a value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord {
        var left = limitBytes
        val known = state.machines.values.sortedBy { it.name.text }.mapNotNull { machine ->
            val images = machine.cachedImages.takeLast(IMAGES_REMEMBERED)
            left -= machine.name.text.length + BYTES_AROUND + images.sumOf { it.text.length + BYTES_AROUND }
            if (images.isEmpty() || left < 0) null else machine.name to images
        }
        return ImageRecord(known.toMap())
    }

    private companion object {
        const val IMAGES_REMEMBERED = 12

        /** Quotes, commas and brackets around a name in the record. */
        const val BYTES_AROUND = 6
    }
}
