package copperglade.ownership

import copperglade.membership.Membership
import copperglade.protocol.Revision
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.seconds

/**
 * Records which images are cached on the machines of the owned shards. The records are hints that save image downloads after another
 * controller takes over a shard; nothing else depends on them, so they are written only while enough of the write budget is unused.
 */
class ImageRecordWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val membership: Membership,
    private val owned: OwnedShards,
) {
    fun start() = loop.scheduleRepeating({ WRITE_INTERVAL }) {
        if (membership.mayAct && store.writeBudgetLevel() > MIN_WRITE_BUDGET_LEVEL) owned.open.forEach(::write)
    }

    private fun write(shard: ShardOwner) {
        val present = replica.images[shard.name]
        val record = shard.imageRecord((store.limits.valueBytes * TARGET_VALUE_FRACTION).toInt())
        if (record.byMachine == present?.value?.byMachine.orEmpty()) return
        val value = RecordCodec.encode(record)
        if (value.size > store.limits.valueBytes) return
        val key = Keys.images(shard.name)
        val conditions = listOf(
            Condition(Keys.shard(shard.name), Revision(shard.fencingToken.number)),
            Condition(key, present?.revision ?: Revision.ABSENT),
        )
        val transaction = Transaction(conditions, listOf(Write.Set(key, value)))
        store.commit(WritePriority.CLEANUP, transaction) { outcome ->
            if (outcome is TransactionOutcome.Applied) replica.applyCommitted(transaction, outcome.revision)
        }
    }

    private companion object {
        val WRITE_INTERVAL = 10.seconds

        /** The target size of a record as a fraction of the value limit, since the size estimate is rough. */
        const val TARGET_VALUE_FRACTION = 0.8

        /** The fraction of the write budget that must be left. */
        const val MIN_WRITE_BUDGET_LEVEL = 0.6
    }
}
