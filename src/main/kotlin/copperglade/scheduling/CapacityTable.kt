package copperglade.scheduling

import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerStatus
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.shards.ShardMap
import copperglade.storage.Replica

/**
 * The leader's view of each machine's free capacity: what the shard's owner last reported, less the assignments that it did
 * not know of when it reported.
 *
 * @param statusOf the last status of a controller; null where that is too old to assign by.
 */
class CapacityTable(
    private val replica: Replica,
    private val shardMap: ShardMap,
    private val statusOf: (MemberId) -> PeerStatus?,
) {
    /** Resources assigned to a machine by the write of [revision]. */
    private class Reservation(val revision: Revision, val request: Resources)

    private val reservations = HashMap<MachineName, MutableList<Reservation>>()

    /** The machines of all shards whose present owner has reported their capacity under its present fencing token. */
    fun capacities(): List<MachineCapacity> {
        val capacities = ArrayList<MachineCapacity>()
        for (shard in shardMap.all) {
            val record = replica.shards[shard] ?: continue
            val status = statusOf(record.value.member)?.takeIf { it.incarnation == record.value.incarnation } ?: continue
            val shardCapacity =
                status.shards.firstOrNull { it.shard == shard && it.fencingToken.number == record.revision.number } ?: continue
            for (machine in shardCapacity.machines) {
                val unconfirmed = unconfirmedReservations(machine.name, status.knownRevision)
                val free = unconfirmed.fold(machine.free) { remaining, reservation -> remaining - reservation.request }
                capacities += MachineCapacity(shard, machine, free)
            }
        }
        return capacities
    }

    /** Counts a task with this [request], assigned by the write of [revision], until the shard's owner knows that revision. */
    fun reserve(machine: MachineCapacity, revision: Revision, request: Resources) {
        reservations.getOrPut(machine.machine.name) { ArrayList() } += Reservation(revision, request)
    }

    fun zoneOf(shard: ShardName): String = shardMap.zoneOf(shard)

    /** Reservations that an owner which knows the records up to [knownRevision] has not counted yet; the others are dropped. */
    private fun unconfirmedReservations(machine: MachineName, knownRevision: Revision): List<Reservation> {
        val machineReservations = reservations[machine] ?: return emptyList()
        machineReservations.removeIf { it.revision <= knownRevision }
        if (machineReservations.isEmpty()) reservations.remove(machine)
        return machineReservations
    }
}
