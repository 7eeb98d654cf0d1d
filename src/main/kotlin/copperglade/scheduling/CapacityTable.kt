package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerStatus
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.shards.ShardMap
import copperglade.storage.Replica

/** The free capacity of each machine, less what the leader has assigned since the owner reported it. */
class CapacityTable(private val replica: Replica, private val shardMap: ShardMap) {
    private class Reservation(val revision: Revision, val request: Resources)

    class MachineCapacity(val shard: ShardName, val machine: MachineAvailability, var free: Resources, preemptible: List<Resources>) {
        private val preemptible = PreemptibleCapacity(preemptible)

        /** Whether [spec] could be given room by stopping what is of lower priority. */
        fun fitsWithPreemption(spec: JobSpec): Boolean =
            preemptible.hasBelow(spec.priority) && spec.request.fitsIn(preemptible.withAllBelow(spec.priority, free))

        /** Takes room for a task of [spec]. What it has by stopping lower work is gone from what that work could still yield. */
        fun take(spec: JobSpec) {
            free = preemptible.preemptInto(free - spec.request, spec.priority)
        }

        /** Kept for a task that doesn't fit yet: small ones must not take every piece of room that comes free. */
        var kept = false
    }

    private val reservations = HashMap<MachineName, MutableList<Reservation>>()

    /** The capacity of the machines of all shards whose owners have been heard lately. */
    fun capacities(statusOf: (MemberId) -> PeerStatus?): List<MachineCapacity> {
        val capacities = ArrayList<MachineCapacity>()
        for (shard in shardMap.all) {
            val record = replica.shards[shard] ?: continue
            val status = statusOf(record.value.member)?.takeIf { it.incarnation == record.value.incarnation } ?: continue
            val machineCapacity =
                status.shards.firstOrNull { it.shard == shard && it.fencingToken.number == record.revision.number } ?: continue
            for (machine in machineCapacity.machines) {
                val unconfirmed = unconfirmedReservations(machine.name, status.knownRevision)
                val free = unconfirmed.fold(machine.free) { left, reservation -> left - reservation.request }
                capacities += MachineCapacity(shard, machine, free, machine.preemptible)
            }
        }
        return capacities
    }

    /** What the owner didn't know of yet when it wrote its status. */
    private fun unconfirmedReservations(machine: MachineName, knownRevision: Revision): List<Reservation> {
        val machineReservations = reservations[machine] ?: return emptyList()
        machineReservations.removeIf { it.revision <= knownRevision }
        if (machineReservations.isEmpty()) reservations.remove(machine)
        return machineReservations
    }

    fun reserve(machineCapacity: MachineCapacity, revision: Revision, request: Resources) {
        reservations.getOrPut(machineCapacity.machine.name) { ArrayList() } += Reservation(revision, request)
    }
}
