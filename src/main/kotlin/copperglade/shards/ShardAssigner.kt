package copperglade.shards

import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ShardRecord
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's assignment of shards to controllers. A shard is granted only if its owner has released the shard, or if the owner's member
 * key no longer holds the owner's incarnation, which is a condition of the same transaction.
 */
class ShardAssigner(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val shardMap: ShardMap,
    private val zoneOfMember: Map<MemberId, String>,
    private val leaseEndorsement: LeaseEndorsement,
    workerLeaseSeconds: Double,
) {
    private class Grant(val revision: Revision, val observedAt: MonotonicTime)

    /** The minimum time that a shard stays with a new owner, even if the distribution is uneven. */
    private val minTenure: Duration = (workerLeaseSeconds * MIN_TENURE_IN_WORKER_LEASES).seconds
    private val grantsInFlight = HashSet<ShardName>()

    /** The last grant of each shard observed by this process. */
    private val lastGrants = HashMap<ShardName, Grant>()

    /** Members that can't reach workers, and the time until which no shards are granted to them. */
    private val excludedUntil = HashMap<MemberId, MonotonicTime>()

    /** Shards whose owners should release them for an even distribution. Recomputed in each round. */
    var shardsToRelease: List<ShardName> = emptyList()
        private set

    /** Grants all shards without an owner; if there are none, selects a shard to release. Called only while this process is the leader. */
    fun round() {
        if (!hasWaitedForMembers()) return
        recordGrants()
        val shardCounts = shardCounts(eligibleMembers())
        val unownedShards = shardMap.all.filter { ownerOf(it) == null }
        for (shard in unownedShards) {
            if (shard in grantsInFlight || !mayGrant(shard)) continue
            val owner = chooseOwner(shard, shardCounts) ?: continue
            shardCounts.merge(owner, 1, Int::plus)
            grant(shard, owner)
        }
        shardsToRelease = if (unownedShards.isEmpty()) shardsToRebalance(shardCounts) else emptyList()
    }

    /** Without this wait after a start of the whole cluster, the members that join first would get all shards. */
    private fun hasWaitedForMembers(): Boolean =
        replica.members.size >= zoneOfMember.size || leadership.leadingForSeconds > WAIT_FOR_MEMBERS_SECONDS

    private fun recordGrants() {
        val now = loop.now()
        for ((shard, record) in replica.shards) {
            if (lastGrants[shard]?.revision != record.revision) lastGrants[shard] = Grant(record.revision, now)
        }
    }

    /** Returns the members that are not excluded for unreachable workers, or all members if none remains. */
    private fun eligibleMembers(): Collection<MemberId> {
        val now = loop.now()
        replica.shards.values
            .filter { it.value.released }
            .forEach { excludedUntil[it.value.member] = now + EXCLUSION_PERIOD }
        val reachable = replica.members.keys.filter { now >= (excludedUntil[it] ?: MonotonicTime.NEVER) }
        return reachable.ifEmpty { replica.members.keys }
    }

    private fun shardCounts(members: Collection<MemberId>): HashMap<MemberId, Int> {
        val counts = members.associateWithTo(HashMap()) { 0 }
        for (owner in shardMap.all.mapNotNull(::ownerOf)) counts.computeIfPresent(owner) { _, count -> count + 1 }
        return counts
    }

    private fun ownerOf(shard: ShardName): MemberId? {
        val record = replica.shards[shard]?.value ?: return null
        return record.member.takeIf { replica.members[it]?.value?.incarnation == record.incarnation }
    }

    /** Whether the shard's previous owner is a member, has released the shard, or is not protected by this controller's endorsement. */
    private fun mayGrant(shard: ShardName): Boolean {
        val record = replica.shards[shard]?.value ?: return true
        return record.released || record.member in replica.members || leaseEndorsement.mayReassignShardsOf(record.member)
    }

    /** Returns the previous owner if eligible and below an even share, as the workers report to it already; else the member with fewest. */
    private fun chooseOwner(shard: ShardName, shardCounts: Map<MemberId, Int>): MemberId? {
        val former = replica.shards[shard]?.value?.member
        val evenCount = (shardMap.all.size + shardCounts.size - 1) / shardCounts.size.coerceAtLeast(1)
        if (former != null && former in shardCounts && shardCounts.getValue(former) < evenCount) return former
        val zone = shardMap.zoneOf(shard)
        return shardCounts.keys.minWithOrNull(
            compareBy<MemberId> { shardCounts.getValue(it) }
                .thenBy { if (zoneOfMember[it] == zone) 0 else 1 }
                .thenBy { it.text },
        )
    }

    /** Returns one shard of the member with the most shards, if another member has at least two fewer. */
    private fun shardsToRebalance(shardCounts: Map<MemberId, Int>): List<ShardName> {
        val most = shardCounts.maxByOrNull { it.value } ?: return emptyList()
        val least = shardCounts.values.min()
        if (most.value - least < 2) return emptyList()
        return listOfNotNull(shardMap.all.lastOrNull { ownerOf(it) == most.key && hasMinTenure(it) })
    }

    /**
     * Whether the shard has been with its owner for the minimum tenure. Tasks that a new owner has not yet found on the workers may start
     * only after the workers' leases have expired, counted from the grant. Another grant in that time would restart their wait.
     */
    private fun hasMinTenure(shard: ShardName): Boolean = lastGrants[shard]?.let { loop.now() >= it.observedAt + minTenure } ?: false

    private fun grant(shard: ShardName, owner: MemberId) {
        val member = replica.members[owner] ?: return
        val record = RecordCodec.encode(ShardRecord(owner, member.value.incarnation))
        val transaction = Transaction(grantConditions(shard, owner, member.revision), listOf(Write.Set(Keys.shard(shard), record)))
        grantsInFlight += shard
        store.commit(WritePriority.LEASE, transaction) { outcome -> onGrantOutcome(shard, owner, transaction, outcome) }
    }

    /** This controller leads, the new owner is a member, the shard's record is unchanged, and so is the previous owner's member key. */
    private fun grantConditions(shard: ShardName, owner: MemberId, memberRevision: Revision): List<Condition> {
        val present = replica.shards[shard]
        val conditions = ArrayList<Condition>()
        conditions += leadership.fencingCondition
        conditions += Condition(Keys.member(owner), memberRevision)
        conditions += Condition(Keys.shard(shard), present?.revision ?: Revision.ABSENT)
        present?.value?.takeIf { it.member != owner && !it.released }?.member?.let { former ->
            conditions += Condition(Keys.member(former), replica.members[former]?.revision ?: Revision.ABSENT)
        }
        return conditions
    }

    /** A grant that failed, or whose outcome is unknown, is retried in a later round if the shard still has no owner. */
    private fun onGrantOutcome(shard: ShardName, owner: MemberId, transaction: Transaction, outcome: TransactionOutcome) {
        grantsInFlight -= shard
        when (outcome) {
            is TransactionOutcome.Applied -> {
                log.info("shard_granted shard={} to={} fencing_token={}", shard, owner, outcome.revision)
                replica.applyCommitted(transaction, outcome.revision)
            }
            is TransactionOutcome.Conflict,
            TransactionOutcome.NoSuchLease,
            TransactionOutcome.Refused,
            TransactionOutcome.Unknown,
            -> Unit
        }
    }

    private companion object {
        const val WAIT_FOR_MEMBERS_SECONDS = 1.5
        const val MIN_TENURE_IN_WORKER_LEASES = 1.5
        val EXCLUSION_PERIOD = 30.seconds
        val log = LoggerFactory.getLogger("shards")
    }
}
