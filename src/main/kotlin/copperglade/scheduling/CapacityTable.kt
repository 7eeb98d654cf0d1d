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
 * The leader's view of each machine's free capacity: the capacity that the shard's owner last reported, less the assignments
 * that the shard's owner had not yet read when it reported.
 *
 * @param statusOf returns the last status of a controller, or null where that status is too old to base assignments on.
 */
class CapacityTable(
    private val replica: Replica,
    private val shardMap: ShardMap,
    private val statusOf: (MemberId) -> PeerStatus?,
) {
    /** Resources assigned to a machine by the write of [revision]. */
    private class Reservation(val revision: Revision, val request: Resources)

    private val reservations = HashMap<MachineName, MutableList<Reservation>>()

    /** Returns the machines of all shards whose current owner has reported their capacity under its current fencing token. */
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

    /**
     * Counts a task with this [request], assigned by the write of [revision], against [machine] until the shard's owner reports
     * that it has read that revision.
     */
    fun reserve(machine: MachineCapacity, revision: Revision, request: Resources) {
        reservations.getOrPut(machine.machine.name) { ArrayList() } += Reservation(revision, request)
    }

    fun zoneOf(shard: ShardName): String = shardMap.zoneOf(shard)

    /**
     * Returns the reservations of [machine] that are newer than [knownRevision], the revision up to which the shard's owner had
     * read the records when it reported. Drops the other reservations of the machine.
     */
    private fun unconfirmedReservations(machine: MachineName, knownRevision: Revision): List<Reservation> {
        val machineReservations = reservations[machine] ?: return emptyList()
        machineReservations.removeIf { it.revision <= knownRevision }
        if (machineReservations.isEmpty()) reservations.remove(machine)
        return machineReservations
    }
}
