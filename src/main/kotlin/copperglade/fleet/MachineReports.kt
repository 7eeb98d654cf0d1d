package copperglade.fleet

import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerStatus
import copperglade.shards.ShardMap
import copperglade.storage.Job
import copperglade.storage.Replica

/**
 * The shard owners' reports of their machines.
 *
 * @param statusOf returns the last status of a controller; null where the controller is unreachable.
 */
class MachineReports(
    private val replica: Replica,
    private val shardMap: ShardMap,
    private val statusOf: (MemberId) -> PeerStatus?,
) {
    /** The machines of all shards whose owners are reachable. */
    fun capacities(): Map<MachineName, MachineAvailability> {
        val capacities = HashMap<MachineName, MachineAvailability>()
        for (record in replica.shards.values) {
            val status = statusOf(record.value.member) ?: continue
            for (shard in status.shards) shard.machines.forEach { capacities[it.name] = it }
        }
        return capacities
    }

    /** Whether the owner of the machine's shard is reachable and reports on that shard, and so would report the machine too. */
    fun isShardReported(machine: ListedMachine): Boolean {
        val shard = shardMap.of(machine.name, machine.zone)
        val status = replica.shards[shard]?.let { statusOf(it.value.member) } ?: return false
        return status.shards.any { it.shard == shard }
    }

    /** The zone of [job]'s assigned tasks, by the first of them; null where no task is assigned. */
    fun zoneOf(job: Job): String? = job.assignments().firstOrNull()?.let { shardMap.zoneOf(it.shard) }
}
