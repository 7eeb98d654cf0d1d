package copperglade.ownership

import copperglade.membership.Membership
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.ShardName
import copperglade.shards.ShardMap
import copperglade.storage.CatchUpOutcome
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.storage.ReplicaChanges
import copperglade.storage.ReplicaListener
import copperglade.storage.ShardRecord
import copperglade.tasks.FailureEvidence
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/** Opens and closes shards according to the shard records, forwards job changes to the shard owners, and releases shards on request. */
class ShardOwnership(
    private val loop: EventLoop,
    private val replica: Replica,
    private val membership: Membership,
    private val shardMap: ShardMap,
    private val owned: OwnedShards,
    private val ownerFactory: ShardOwnerFactory,
    private val recordWriter: ShardRecordWriter,
    private val failureEvidence: FailureEvidence,
) : ReplicaListener {
    init {
        recordWriter.onSettled = ::reconcile
    }

    override fun changed(changes: ReplicaChanges) {
        if (changes.clusterRecordsChanged) reconcile()
        for (id in changes.jobs) {
            val job = replica.jobs[id]
            updateFailureEvidence(id, job)
            for (shard in owned.all) if (job == null) shard.removeJob(id) else shard.reconcile(job)
        }
    }

    /** Adds what other controllers have recorded about the job [id]. */
    private fun updateFailureEvidence(id: JobId, job: Job?) {
        when {
            job?.live == null -> failureEvidence.removeJob(id)
            !job.done.isEmpty -> failureEvidence.recordCompletionElsewhere(id)
            job.failing -> failureEvidence.recordFailing(id)
        }
    }

    /** Opens and closes shards according to the shard records. */
    fun reconcile() {
        val incarnation = membership.incarnation
        val ownRecord = incarnation?.let { ShardRecord(membership.self, it) }
        for (name in shardMap.all) {
            val record = replica.shards[name]
            val grantToken = record?.takeIf { it.value == ownRecord }?.let { FencingToken(it.revision.number) }
            reconcile(name, grantToken)
        }
    }

    /** Opens or closes the shard [name], which the records grant to this process under [grantToken]; null if they don't grant it. */
    private fun reconcile(name: ShardName, grantToken: FencingToken?) {
        if (recordWriter.isInFlight(name)) return
        val present = owned[name]
        if (present != null && (grantToken == null || present.fencingToken != grantToken)) close(present)
        if (grantToken != null && name !in owned) open(name, grantToken)
    }

    private fun open(name: ShardName, grantToken: FencingToken) {
        log.info("shard_acquired shard={} fencing_token={}", name, grantToken)
        val shard = ownerFactory.create(name, grantToken)
        owned.add(shard)
        openWhenCurrent(shard)
    }

    /** Opens [shard] once the replica has read the outcomes that the former owner wrote, since no task may start before. */
    private fun openWhenCurrent(shard: ShardOwner) {
        replica.catchUp { outcome ->
            if (owned[shard.name] !== shard) return@catchUp
            when (outcome) {
                CatchUpOutcome.Current -> shard.open()
                CatchUpOutcome.Unavailable -> loop.after(RETRY_INTERVAL) { openWhenCurrent(shard) }
            }
        }
    }

    private fun close(shard: ShardOwner) {
        log.info("shard_closed shard={}", shard.name)
        owned.remove(shard.name)
        shard.close()
        // The next owner sees what happens on the machines from now on, and this process doesn't.
        shard.machines.keys.forEach(failureEvidence::removeMachine)
    }

    /** Releases the shards [names], which the leader moves to other controllers. This process stops acting for the shards first. */
    fun release(names: List<ShardName>) = closeEach(names, recordWriter::release)

    /** Releases the shards [names], whose workers this process can't reach, and keeps the leader from granting them back at once. */
    fun releaseUnreachable(names: List<ShardName>) = closeEach(names, recordWriter::releaseUnreachable)

    private fun closeEach(names: List<ShardName>, release: (ShardName, FencingToken) -> Unit) {
        for (name in names) {
            val shard = owned[name] ?: continue
            if (!shard.isOpen || !recordWriter.tryBeginWrite(name)) continue
            close(shard)
            release(shard.name, shard.fencingToken)
        }
    }

    private companion object {
        val RETRY_INTERVAL = 200.milliseconds
        val log = LoggerFactory.getLogger("ownership")
    }
}
