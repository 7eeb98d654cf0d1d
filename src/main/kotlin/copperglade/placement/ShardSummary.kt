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
 * Reports a shard's machines to other controllers: the free and preemptible capacity to the leader, the cached images to a later
 * owner. Both are hints; a controller that acts on a hint checks the records first.
 */
class ShardSummary(
    private val state: ShardState,
    private val health: MachineHealth,
    private val types: MachineTypeCatalog,
    private val failingJobs: FailingJobs,
    private val clock: Clock,
) {
    /**
     * Returns the capacity of the shard's fenced machines. A machine whose worker has not received the owner's fencing token is
     * left out, since commands of a former owner may still change what the worker reports.
     */
    fun capacity(): ShardCapacity {
        val now = clock.now()
        val waitingRequests = state.runs.waiting
            .filter { now >= it.earliestStartAt && it.task.job !in failingJobs }
            .mapTo(ArrayList()) { it.spec.request }
        val machines = state.machines.values.filter(state::isFenced).mapNotNull { machine ->
            types[machine.typeName]?.let { availabilityOf(machine, it, waitingRequests, now) }
        }
        return ShardCapacity(state.name, state.fencingToken, machines)
    }

    private fun availabilityOf(
        machine: Machine,
        type: MachineType,
        waitingRequests: MutableList<Resources>,
        now: MonotonicTime,
    ): MachineAvailability {
        val free = freeAfterWaiting(waitingRequests, machine.freeCapacity(type, now, state::requestOf))
        return MachineAvailability(
            name = machine.name,
            type = machine.typeName,
            zone = machine.zone,
            spot = machine.spot,
            usable = health.isUsable(machine, now),
            onTrial = health.awaitsTrialTask(machine, now),
            worthKeeping = health.isWorthKeeping(machine, now),
            idleMillis = if (machine.isEmpty) now.millis - machine.idleSince.millis else 0,
            free = free,
            preemptible = machine.runs.preemptibleCapacity().byPriority,
            images = machine.cachedImages,
        )
    }

    /**
     * Returns the part of [free] that remains for new tasks once the waiting tasks that fit are placed. Removes the requests of
     * these tasks from [waitingRequests].
     */
    private fun freeAfterWaiting(waitingRequests: MutableList<Resources>, free: Resources): Resources {
        var remaining = free
        val requests = waitingRequests.iterator()
        while (requests.hasNext()) {
            val request = requests.next()
            if (!request.fitsIn(remaining)) continue
            remaining -= request
            requests.remove()
        }
        return remaining
    }

    /** Returns the cached images of the shard's machines, as many as fit into a stored value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord {
        var remainingBytes = limitBytes
        val imagesByMachine = state.machines.values.sortedBy { it.name.text }.mapNotNull { machine ->
            val images = machine.cachedImages.takeLast(MAX_IMAGES_PER_MACHINE)
            remainingBytes -= machine.name.text.length + DELIMITER_BYTES + images.sumOf { it.text.length + DELIMITER_BYTES }
            if (images.isEmpty() || remainingBytes < 0) null else machine.name to images
        }
        return ImageRecord(imagesByMachine.toMap())
    }

    private companion object {
        const val MAX_IMAGES_PER_MACHINE = 12

        /** Quotes, commas and brackets around a name in the record. */
        const val DELIMITER_BYTES = 6
    }
}
