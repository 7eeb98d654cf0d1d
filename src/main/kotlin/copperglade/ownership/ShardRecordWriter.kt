package copperglade.ownership

import copperglade.membership.Membership
import copperglade.protocol.FencingToken
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
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes the records of shards that this process releases.
 *
 * Invariant: at most one write of a shard's record is in flight, and the shard is neither opened nor closed because of the records
 * until that write is settled. Every write is conditional on the present fencing token.
 */
class ShardRecordWriter(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val membership: Membership,
) {
    private val inFlight = HashSet<ShardName>()

    /** Called when a write is settled, after the replica has read its outcome. */
    var onSettled: () -> Unit = {}

    /** Whether a write of the record of [shard] is not settled yet. */
    fun isInFlight(shard: ShardName): Boolean = shard in inFlight

    /** Marks the record of [shard] as being written; returns false if a write is in flight already. */
    fun tryBeginWrite(shard: ShardName): Boolean = inFlight.add(shard)

    /** Deletes the record of [shard], which was owned under [token] and has been closed. Requires a successful [tryBeginWrite]. */
    fun release(shard: ShardName, token: FencingToken) = release(shard, token, Write.Delete(Keys.shard(shard)))

    /** Like [release], but leaves a record that keeps the leader from granting the shard to this process again at once. */
    fun releaseUnreachable(shard: ShardName, token: FencingToken) =
        release(shard, token, set(shard, ShardRecord.releasedBy(membership.self)))

    private fun release(shard: ShardName, token: FencingToken, write: Write) = write(shard, token, write) { outcome ->
        if (outcome is TransactionOutcome.Applied) settle(shard) else restore(shard, token)
    }

    /**
     * Restores the record after a release whose outcome is unknown: the release might be applied much later, when this process acts for
     * the shard again. Retries until the outcome of a write is certain.
     */
    private fun restore(shard: ShardName, token: FencingToken) {
        val record = ownRecord() ?: return settle(shard)
        write(shard, token, set(shard, record)) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied, is TransactionOutcome.Conflict -> settle(shard)
                TransactionOutcome.NoSuchLease, TransactionOutcome.Refused, TransactionOutcome.Unknown ->
                    loop.after(RETRY_INTERVAL) { restore(shard, token) }
            }
        }
    }

    private fun ownRecord(): ShardRecord? = membership.incarnation?.let { ShardRecord(membership.self, it) }

    private fun set(shard: ShardName, record: ShardRecord) = Write.Set(Keys.shard(shard), RecordCodec.encode(record))

    private fun write(shard: ShardName, token: FencingToken, write: Write, onOutcome: (TransactionOutcome) -> Unit) {
        val transaction = Transaction(listOf(Condition(Keys.shard(shard), Revision(token.number))), listOf(write))
        store.commit(WritePriority.LEASE, transaction) { outcome ->
            onOutcome(outcome)
            if (outcome is TransactionOutcome.Applied) replica.applyCommitted(transaction, outcome.revision)
        }
    }

    private fun settle(shard: ShardName) = replica.catchUp {
        inFlight -= shard
        onSettled()
    }

    private companion object {
        val RETRY_INTERVAL = 200.milliseconds
        val log = LoggerFactory.getLogger("ownership")
    }
}
