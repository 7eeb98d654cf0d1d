package copperglade.shards

import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.protocol.BlockName
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Stamp
import copperglade.storage.BlockRecord
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.Write
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.slf4j.LoggerFactory

/** Which block a machine belongs to: a pure function, so that a machine needs no record and has exactly one block. */
class BlockMap(private val zones: List<String>, private val perZone: Int) {
    val all: List<BlockName> = zones.flatMap { zone -> (0 until perZone).map { BlockName("$zone.$it") } }

    fun of(machine: MachineName, zone: String): BlockName {
        // Names are numbered in order of rental: machines of one rental spread evenly over the slots.
        val number =
            machine.text
                .takeLastWhile { it.isDigit() }
                .takeLast(NUMBER_DIGITS)
                .toIntOrNull() ?: machine.text.hashCode()
        return BlockName("$zone.${Math.floorMod(number, perZone)}")
    }

    fun zoneOf(block: BlockName): String = block.text.substringBeforeLast('.')

    private companion object {
        const val NUMBER_DIGITS = 9
    }
}

/**
 * The leader's hand in who owns which block. A block is granted anew only when its holder's incarnation is gone from the
 * member key, which is a condition of the same transaction, or when the holder has given it up.
 */
class BlockGranter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val blocks: BlockMap,
    private val zoneOfMember: Map<MemberId, String>,
    private val leaseEndorsement: LeaseEndorsement,
    /** How long a block stays with a new owner, however uneven the blocks are dealt out. */
    private val settling: Duration,
) {
    private val inFlight = HashSet<BlockName>()

    /** The last grant of each block, and since when it is known. */
    private val grants = HashMap<BlockName, Grant>()

    private class Grant(val stamp: Stamp, val since: Moment)

    /** Members that hear no workers, and until when they are given no blocks. */
    private val unheardUntil = HashMap<MemberId, Moment>()

    /** Blocks whose owners should give them up, so that every member has its part. */
    var release: List<BlockName> = emptyList()
        private set

    fun round() {
        val patience = replica.members.size >= zoneOfMember.size || leadership.leadingForS > WAIT_FOR_MEMBERS_S
        if (!patience) return
        observeGrants()
        val now = loop.now()
        replica.blocks.values
            .filter { it.value.givenUp }
            .forEach { unheardUntil[it.value.member] = now + UNHEARD }
        val hearing = replica.members.keys.filter { now >= (unheardUntil[it] ?: Moment.NEVER) }
        val load = hearing.ifEmpty { replica.members.keys }.associateWithTo(HashMap()) { 0 }
        val orphans = ArrayList<BlockName>()
        for (block in blocks.all) {
            val owner = ownerOf(block)
            if (owner == null) orphans += block else load.computeIfPresent(owner) { _, blocks -> blocks + 1 }
        }
        for (block in orphans) {
            if (block in inFlight) continue
            val holder = replica.blocks[block]?.value?.member
            val left = replica.blocks[block]?.value?.givenUp ?: false
            if (!left && holder != null && holder !in replica.members && !leaseEndorsement.mayGrantAway(holder)) continue
            val chosen = choose(block, load) ?: continue
            load.merge(chosen, 1, Int::plus)
            grant(block, chosen)
        }
        release = if (orphans.isEmpty()) balance(load) else emptyList()
    }

    fun ownerOf(block: BlockName): MemberId? {
        val record = replica.blocks[block]?.value ?: return null
        return record.member.takeIf { replica.members[it]?.value?.incarnation == record.incarnation }
    }

    /** The former owner where it lives again: it knows the machines' ways to it. Else whoever has least. */
    private fun choose(block: BlockName, load: Map<MemberId, Int>): MemberId? {
        val former = replica.blocks[block]?.value?.member
        val fair = (blocks.all.size + load.size - 1) / load.size.coerceAtLeast(1)
        if (former != null && former in load && load.getValue(former) < fair) return former
        val zone = blocks.zoneOf(block)
        return load.keys.minWithOrNull(
            compareBy<MemberId> { load.getValue(it) }
                .thenBy { if (zoneOfMember[it] == zone) 0 else 1 }
                .thenBy { it.text },
        )
    }

    private fun balance(load: Map<MemberId, Int>): List<BlockName> {
        val most = load.maxByOrNull { it.value } ?: return emptyList()
        val least = load.values.min()
        if (most.value - least < 2) return emptyList()
        return listOfNotNull(blocks.all.lastOrNull { ownerOf(it) == most.key && isSettled(it) })
    }

    /**
     * Whether [block] has been with its owner for a while. Tasks that a new owner has not found yet may start only when the
     * workers' leases are over, counted from the grant: handed on in that time, they would wait once more.
     */
    private fun isSettled(block: BlockName): Boolean = grants[block]?.let { loop.now() >= it.since + settling } ?: false

    private fun observeGrants() {
        val now = loop.now()
        for ((block, record) in replica.blocks) {
            if (grants[block]?.stamp != record.stamp) grants[block] = Grant(record.stamp, now)
        }
    }

    private fun grant(block: BlockName, to: MemberId) {
        val member = replica.members[to] ?: return
        val present = replica.blocks[block]
        val conditions = ArrayList<Condition>()
        conditions += leadership.condition
        conditions += Condition(Keys.member(to), member.stamp)
        conditions += Condition(Keys.block(block), present?.stamp ?: Stamp.ABSENT)
        present?.value?.takeIf { it.member != to && !it.givenUp }?.member?.let { holder ->
            conditions += Condition(Keys.member(holder), replica.members[holder]?.stamp ?: Stamp.ABSENT)
        }
        val record = RecordCodec.encode(BlockRecord(to, member.value.incarnation))
        val transaction = Transaction(conditions, listOf(Write.Set(Keys.block(block), record)))
        inFlight += block
        store.commit(Urgency.LEASE, transaction) { outcome ->
            inFlight -= block
            if (outcome is TransactionOutcome.Applied) {
                log.info("block {} granted to {} with baton {}", block, to, outcome.stamp)
                replica.applied(transaction, outcome.stamp)
            }
        }
    }

    private companion object {
        const val WAIT_FOR_MEMBERS_S = 1.5
        val UNHEARD = 30.seconds
        val log = LoggerFactory.getLogger("blocks")
    }
}
