package copperglade.ownership

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName
import copperglade.protocol.WorkerMessageCodec
import copperglade.shards.ShardMap
import copperglade.storage.CatchUpOutcome
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.ReplicaChanges
import copperglade.storage.ReplicaListener
import copperglade.storage.ShardRecord
import copperglade.storage.StateClient
import copperglade.storage.TokenBucket
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.tasks.ShardContext
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The shards that this process owns, kept in line with the shard records. */
class ShardOwnership(
    private val context: ShardContext,
    private val store: StateClient,
    private val shardMap: ShardMap,
    private val cloud: Endpoint,
    private val cloudBudget: TokenBucket,
    /** Whether a controller is heard that the state service answers: it, or whom it knows, takes our shards over. */
    private val peersReachStateService: () -> Boolean,
) : ReplicaListener {
    private val loop = context.loop
    private val replica = context.replica
    private val membership = context.membership
    private val owned = HashMap<ShardName, ShardOwner>()
    private val keyInFlight = HashSet<ShardName>()
    private var unreachableCheckedAt = MonotonicTime.NEVER
    private var unreachableTimes = 0

    fun start() {
        loop.scheduleRepeating({ TICK + TICK_PER_MACHINE * machineCount }) { context.metrics.measure("blocks") { tick() } }
        loop.scheduleRepeating({ GIVE_UP_INTERVAL }, ::releaseIfWorkersUnreachable)
        // At leisure: image records spare fetches after a takeover, and nothing depends on them.
        loop.scheduleRepeating({ REMEMBER_INTERVAL }) {
            if (membership.mayAct && store.writeBudgetLevel() > PLENTY) owned.values.filter { it.open }.forEach(::rememberImages)
        }
    }

    /**
     * A controller that hears none of its workers, while the state service knows it well, holds their shards for nothing:
     * on a bench day one sat on a third of the machines for the 40 s in which it was cut off from them, and all their
     * leases ran out. It gives the shards up while the leases last, and says so, that it doesn't get them back at once.
     */
    private fun releaseIfWorkersUnreachable() {
        val now = loop.now()
        // After a pause of our own, everybody seems to have been silent: what has come meanwhile is read first.
        val onTime = now < unreachableCheckedAt + GIVE_UP_INTERVAL * 2
        unreachableCheckedAt = now
        val shards = owned.values.filter { it.open }
        val machines = shards.sumOf { it.machines.size }
        val unreachable = machines >= MIN_TO_TELL && shards.sumOf { it.unreachableMachines(now) } == machines && !store.isUnreachable()
        unreachableTimes = if (unreachable && onTime) unreachableTimes + 1 else 0
        if (unreachableTimes < TIMES_TO_TELL) return
        unreachableTimes = 0
        log.warn("none of our {} machines is heard: their blocks are given up", machines)
        release(shards.map { it.name }, unreachable = true)
    }

    private fun rememberImages(shard: ShardOwner) {
        val present = replica.images[shard.name]
        val record = shard.imageRecord((store.limits.valueBytes * PART_OF_VALUE).toInt())
        if (record.byMachine == present?.value?.byMachine.orEmpty()) return
        val value = RecordCodec.encode(record)
        if (value.size > store.limits.valueBytes) return
        val key = Keys.images(shard.name)
        val transaction = Transaction(
            listOf(
                Condition(Keys.shard(shard.name), Revision(shard.fencingToken.number)),
                Condition(
                    key,
                    present?.revision ?: Revision.ABSENT,
                ),
            ),
            listOf(Write.Set(key, value)),
        )
        store.commit(WritePriority.CLEANUP, transaction) { outcome ->
            if (outcome is TransactionOutcome.Applied) replica.applyCommitted(transaction, outcome.revision)
        }
    }

    private fun tick() {
        owned.values.toList().forEach {
            it.tick()
            if (it.needsNewToken()) renew(it)
        }
    }

    override fun changed(changes: ReplicaChanges) {
        if (changes.clusterRecordsChanged) reconcile()
        for (id in changes.jobs) {
            val job = replica.jobs[id]
            if (job?.live == null) context.failureEvidence.forgetJob(id)
            for (shard in owned.values) if (job == null) shard.drop(id) else shard.sync(job)
        }
    }

    /** Opens and closes shards as the records say. */
    fun reconcile() {
        val incarnation = membership.incarnation
        for (name in shardMap.all) {
            val record = replica.shards[name]
            val present = owned[name]
            val mine =
                record != null && incarnation != null && record.value == ShardRecord(membership.self, incarnation)
            val fencingToken = record?.let { FencingToken(it.revision.number) }
            if (present != null && (!mine || !present.holds(fencingToken!!)) && name !in keyInFlight) close(present)
            if (mine && name !in owned && name !in keyInFlight) open(name, fencingToken!!)
        }
    }

    private fun open(name: ShardName, fencingToken: FencingToken) {
        log.info("block {} is ours with baton {}", name, fencingToken)
        val shard = ShardOwner(context, store, name, fencingToken)
        owned[name] = shard
        openOnceFresh(shard)
    }

    /** Outcomes that the former owner wrote must be known before anything is started. */
    private fun openOnceFresh(shard: ShardOwner) {
        replica.catchUp { outcome ->
            if (owned[shard.name] !== shard) return@catchUp
            when (outcome) {
                CatchUpOutcome.Current -> shard.open()
                CatchUpOutcome.Unavailable -> loop.after(RETRY) { openOnceFresh(shard) }
            }
        }
    }

    private fun close(shard: ShardOwner) {
        log.info("block {} is no longer ours", shard.name)
        owned.remove(shard.name)
        shard.close()
    }

    /** Writes the key anew to get a new fencing token, which ends whatever late copies of our own commands could do. */
    private fun renew(shard: ShardOwner) {
        val record = membership.incarnation?.let { ShardRecord(membership.self, it) } ?: return
        if (!keyInFlight.add(shard.name)) return
        rewrite(shard.name, shard.fencingToken, Write.Set(Keys.shard(shard.name), RecordCodec.encode(record))) { outcome ->
            if (outcome is TransactionOutcome.Applied) {
                log.info(
                    "block {} has a new baton {}: a start of unknown outcome was in the way",
                    shard.name,
                    outcome.revision,
                )
                shard.renew(FencingToken(outcome.revision.number))
            }
            settleKey(shard.name)
        }
    }

    /**
     * Gives shards up that the leader would rather see elsewhere. We stop acting before we say so. Where the outcome
     * stays unknown, the drop might be applied much later, while we act again: the key is written anew first.
     */
    fun release(names: List<ShardName>, unreachable: Boolean = false) {
        for (name in names) {
            val shard = owned[name] ?: continue
            if (!shard.open || !keyInFlight.add(name)) continue
            close(shard)
            val key = Keys.shard(name)
            val write = if (unreachable) Write.Set(key, RecordCodec.encode(ShardRecord.releasedBy(membership.self))) else Write.Delete(key)
            rewrite(name, shard.fencingToken, write) { outcome ->
                if (outcome is TransactionOutcome.Applied) settleKey(name) else takeBack(name, shard.fencingToken)
            }
        }
    }

    private fun takeBack(name: ShardName, fencingToken: FencingToken) {
        val record = membership.incarnation?.let { ShardRecord(membership.self, it) } ?: return settleKey(name)
        rewrite(name, fencingToken, Write.Set(Keys.shard(name), RecordCodec.encode(record))) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied, is TransactionOutcome.Conflict -> settleKey(name)
                else -> loop.after(RETRY) { takeBack(name, fencingToken) }
            }
        }
    }

    private fun rewrite(name: ShardName, fencingToken: FencingToken, write: Write, done: (TransactionOutcome) -> Unit) {
        val transaction = Transaction(listOf(Condition(Keys.shard(name), Revision(fencingToken.number))), listOf(write))
        store.commit(WritePriority.LEASE, transaction) { outcome ->
            done(outcome)
            if (outcome is TransactionOutcome.Applied) replica.applyCommitted(transaction, outcome.revision)
        }
    }

    private fun settleKey(name: ShardName) = replica.catchUp {
        keyInFlight -= name
        reconcile()
    }

    fun handleHeartbeat(heartbeat: Heartbeat): Reply {
        val name = shardMap.of(heartbeat.machine, heartbeat.zone)
        val shard = owned[name]
        if (shard != null && membership.mayAct) {
            return shard.handleHeartbeat(heartbeat)?.let { Reply(HttpStatus.OK, it) } ?: Reply(HttpStatus.SERVICE_UNAVAILABLE)
        }
        if (shard != null && membership.mayExtendWorkerLeases &&
            !peersReachStateService()
        ) {
            shard.extendWorkerLease(heartbeat)?.let { return Reply(HttpStatus.OK, it) }
        }
        return Reply(HttpStatus.MISDIRECTED_REQUEST, WorkerMessageCodec.encodeRedirect(ownerElsewhere(name)))
    }

    private fun ownerElsewhere(name: ShardName): MemberId? {
        val record = replica.shards[name]?.value ?: return null
        val alive = replica.members[record.member]?.value?.incarnation == record.incarnation
        return record.member.takeIf { alive && it != membership.self }
    }

    val machineCount: Int get() = owned.values.sumOf { it.machines.size }

    fun shardCapacities(): List<ShardCapacity> = owned.values.filter { it.open }.map { it.capacity() }

    /** Returns machines that the leader no longer needs, provided that nothing is on them. */
    fun retire(names: List<MachineName>) {
        if (!membership.mayAct) return
        val empty = names
            .mapNotNull { name ->
                owned.values.firstNotNullOfOrNull { shard ->
                    shard.machines[name]?.let {
                        shard to
                            it
                    }
                }
            }.filter { (_, machine) ->
                // A question may be under way to it, but no start: that would have bound a run.
                machine.runs.isEmpty() && machine.reportedTasks.isEmpty() && !machine.deleting
            }.take(CloudApiCodec.MAX_MACHINES_PER_DELETION)
        if (empty.isEmpty() || !cloudBudget.tryTake(1, loop.now())) return
        empty.forEach { (_, machine) ->
            machine.deleting = true
            // For good: a deletion whose answer is lost may still be carried out.
            machine.draining = true
        }
        val body = CloudApiCodec.encodeDeletion(empty.map { it.second.name })
        context.http.call(cloud, Request(Method.POST, "/machines/delete", body), DELETE_TIMEOUT) { reply ->
            val deleted = reply?.status == HttpStatus.OK
            for ((shard, machine) in empty) {
                machine.deleting = false
                if (deleted && shard.machines[machine.name] === machine) shard.deleted(machine)
            }
            if (deleted) log.info("returned {}", empty.map { it.second.name })
        }
    }

    private companion object {
        const val PART_OF_VALUE = 0.8
        const val PLENTY = 0.6
        val REMEMBER_INTERVAL = 10.seconds
        const val MIN_TO_TELL = 3
        const val TIMES_TO_TELL = 2
        val GIVE_UP_INTERVAL = 250.milliseconds
        val TICK = 100.milliseconds

        /** The more machines there are, the more is gathered: looking at each of them ten times a second would not do. */
        val TICK_PER_MACHINE = 400.microseconds
        val RETRY = 200.milliseconds
        val DELETE_TIMEOUT = 5.seconds
        val log = LoggerFactory.getLogger("owner")
    }
}
