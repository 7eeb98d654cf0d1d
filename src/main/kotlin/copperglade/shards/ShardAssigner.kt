package copperglade.shards

import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.protocol.MachineName
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
 * The leader's hand in who owns which shard. A shard is granted anew only when its holder's incarnation is gone from the
 * member key, which is a condition of the same transaction, or when the holder has given it up.
 */
class ShardAssigner(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val shards: ShardMap,
    private val zoneOfMember: Map<MemberId, String>,
    private val leaseEndorsement: LeaseEndorsement,
    /** How long a shard stays with a new owner, however uneven the shards are dealt out. */
    private val settling: Duration,
) {
    private val inFlight = HashSet<ShardName>()

    /** The last grant of each shard, and since when it is known. */
    private val grants = HashMap<ShardName, Grant>()

    private class Grant(val revision: Revision, val since: MonotonicTime)

    /** Members that hear no workers, and until when they are given no shards. */
    private val unreachableUntil = HashMap<MemberId, MonotonicTime>()

    /** Shards whose owners should give them up, so that every member has its part. */
    var release: List<ShardName> = emptyList()
        private set

    fun round() {
        val patience = replica.members.size >= zoneOfMember.size || leadership.leadingForS > WAIT_FOR_MEMBERS_S
        if (!patience) return
        observeGrants()
        val now = loop.now()
        replica.shards.values
            .filter { it.value.released }
            .forEach { unreachableUntil[it.value.member] = now + UNREACHABLE }
        val hearing = replica.members.keys.filter { now >= (unreachableUntil[it] ?: MonotonicTime.NEVER) }
        val load = hearing.ifEmpty { replica.members.keys }.associateWithTo(HashMap()) { 0 }
        val orphans = ArrayList<ShardName>()
        for (shard in shards.all) {
            val owner = ownerOf(shard)
            if (owner == null) orphans += shard else load.computeIfPresent(owner) { _, shards -> shards + 1 }
        }
        for (shard in orphans) {
            if (shard in inFlight) continue
            val holder = replica.shards[shard]?.value?.member
            val left = replica.shards[shard]?.value?.released ?: false
            if (!left && holder != null && holder !in replica.members && !leaseEndorsement.mayGrantAway(holder)) continue
            val chosen = choose(shard, load) ?: continue
            load.merge(chosen, 1, Int::plus)
            grant(shard, chosen)
        }
        release = if (orphans.isEmpty()) balance(load) else emptyList()
    }

    fun ownerOf(shard: ShardName): MemberId? {
        val record = replica.shards[shard]?.value ?: return null
        return record.member.takeIf { replica.members[it]?.value?.incarnation == record.incarnation }
    }

    /** The former owner where it lives again: it knows the machines' ways to it. Else whoever has least. */
    private fun choose(shard: ShardName, load: Map<MemberId, Int>): MemberId? {
        val former = replica.shards[shard]?.value?.member
        val fair = (shards.all.size + load.size - 1) / load.size.coerceAtLeast(1)
        if (former != null && former in load && load.getValue(former) < fair) return former
        val zone = shards.zoneOf(shard)
        return load.keys.minWithOrNull(
            compareBy<MemberId> { load.getValue(it) }
                .thenBy { if (zoneOfMember[it] == zone) 0 else 1 }
                .thenBy { it.text },
        )
    }

    private fun balance(load: Map<MemberId, Int>): List<ShardName> {
        val most = load.maxByOrNull { it.value } ?: return emptyList()
        val least = load.values.min()
        if (most.value - least < 2) return emptyList()
        return listOfNotNull(shards.all.lastOrNull { ownerOf(it) == most.key && isSettled(it) })
    }

    /**
     * Whether [shard] has been with its owner for a while. Tasks that a new owner has not found yet may start only when the
     * workers' leases are over, counted from the grant: handed on in that time, they would wait once more.
     */
    private fun isSettled(shard: ShardName): Boolean = grants[shard]?.let { loop.now() >= it.since + settling } ?: false

    private fun observeGrants() {
        val now = loop.now()
        for ((shard, record) in replica.shards) {
            if (grants[shard]?.revision != record.revision) grants[shard] = Grant(record.revision, now)
        }
    }

    private fun grant(shard: ShardName, to: MemberId) {
        val member = replica.members[to] ?: return
        val present = replica.shards[shard]
        val conditions = ArrayList<Condition>()
        conditions += leadership.condition
        conditions += Condition(Keys.member(to), member.revision)
        conditions += Condition(Keys.shard(shard), present?.revision ?: Revision.ABSENT)
        present?.value?.takeIf { it.member != to && !it.released }?.member?.let { holder ->
            conditions += Condition(Keys.member(holder), replica.members[holder]?.revision ?: Revision.ABSENT)
        }
        val record = RecordCodec.encode(ShardRecord(to, member.value.incarnation))
        val transaction = Transaction(conditions, listOf(Write.Set(Keys.shard(shard), record)))
        inFlight += shard
        store.commit(WritePriority.LEASE, transaction) { outcome ->
            inFlight -= shard
            if (outcome is TransactionOutcome.Applied) {
                log.info("block {} granted to {} with baton {}", shard, to, outcome.revision)
                replica.applyCommitted(transaction, outcome.revision)
            }
        }
    }

    private companion object {
        const val WAIT_FOR_MEMBERS_S = 1.5
        val UNREACHABLE = 30.seconds
        val log = LoggerFactory.getLogger("blocks")
    }
}
