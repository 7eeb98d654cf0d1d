package copperglade.ownership

import copperglade.membership.Membership
import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.MachineName
import copperglade.storage.TokenBucket
import copperglade.tasks.Machine
import copperglade.transport.Clock
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Deletes machines in the cloud that the leader no longer needs. */
class MachineRetirement(
    private val owned: OwnedShards,
    private val membership: Membership,
    private val http: HttpClient,
    private val cloud: Endpoint,
    private val cloudBudget: TokenBucket,
    private val clock: Clock,
) {
    private data class OwnedMachine(val shard: ShardOwner, val machine: Machine)

    /** Requests the deletion of those of [names] that are empty machines of owned shards, up to the maximum of one request. */
    fun retire(names: List<MachineName>) {
        if (!membership.mayAct) return
        val retired = names.mapNotNull(::find).filter { mayRetire(it.machine) }.take(CloudApiCodec.MAX_MACHINES_PER_DELETION)
        if (retired.isEmpty() || !cloudBudget.tryTake(1, clock.now())) return
        retired.forEach {
            it.machine.deleting = true
            // Never reset: a deletion whose response is lost may still be carried out.
            it.machine.draining = true
        }
        val body = CloudApiCodec.encodeDeletion(retired.map { it.machine.name })
        http.call(cloud, Request(Method.POST, "/machines/delete", body), DELETE_TIMEOUT) { reply ->
            onReply(retired, deleted = reply?.status == HttpStatus.OK)
        }
    }

    private fun find(name: MachineName): OwnedMachine? =
        owned.all.firstNotNullOfOrNull { shard -> shard.machines[name]?.let { OwnedMachine(shard, it) } }

    /** A command may be in flight to an empty machine, but no start: a start would have assigned a run to the machine. */
    private fun mayRetire(machine: Machine): Boolean = machine.isEmpty && !machine.deleting

    private fun onReply(retired: List<OwnedMachine>, deleted: Boolean) {
        for ((shard, machine) in retired) {
            machine.deleting = false
            if (deleted && shard.machines[machine.name] === machine) shard.onDeleted(machine)
        }
        if (deleted) log.info("machines_deleted machines={}", retired.map { it.machine.name })
    }

    private companion object {
        val DELETE_TIMEOUT = 5.seconds
        val log = LoggerFactory.getLogger("ownership")
    }
}
