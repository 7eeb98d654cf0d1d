package copperglade.storage

import copperglade.protocol.Revision
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/**
 * Resolves writes of packed records whose outcome is unknown. Such a write may be applied at any later time while the packed record has
 * the same revision, even after newer writes of the same task range to other packed records. Readers would then find the range twice and
 * could use the older entry.
 *
 * No read shows whether a write is still in flight. The packed record is therefore marked as in flight until the record's revision has
 * changed, either by that write or by a rewrite with unchanged content.
 *
 * @param ownerCondition the condition under which this controller may write the packed records.
 */
class UnresolvedWrites(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val priority: WritePriority,
    private val ownerCondition: () -> Condition,
) {
    /** Calls [resolved] once no copy of [packedWrite] can be applied any more, unless [isOwner] returns false before that. */
    fun resolve(packedWrite: PackedWrite, isOwner: () -> Boolean, resolved: () -> Unit) {
        val attempt = Attempt(packedWrite, isOwner, resolved)
        attempt.start()
    }

    private inner class Attempt(
        private val packedWrite: PackedWrite,
        private val isOwner: () -> Boolean,
        private val resolved: () -> Unit,
    ) {
        fun start() = replica.catchUp(::caughtUp)

        private fun caughtUp(outcome: CatchUpOutcome) {
            if (!isOwner()) return
            when (outcome) {
                CatchUpOutcome.Unavailable -> retry()
                CatchUpOutcome.Current -> if (hasChanged(packedWrite.condition)) resolved() else rewrite()
            }
        }

        private fun rewrite() {
            val unchanged = packedWrite.packer.rewriteUnchanged(packedWrite)
            val transaction = Transaction(listOf(ownerCondition(), unchanged.condition), listOf(unchanged.write))
            store.commit(priority, transaction) { outcome -> rewritten(transaction, outcome) }
        }

        private fun rewritten(transaction: Transaction, outcome: TransactionOutcome) {
            if (!isOwner()) return
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    replica.applyCommitted(transaction, outcome.revision)
                    resolved()
                }
                is TransactionOutcome.Conflict,
                TransactionOutcome.NoSuchLease,
                TransactionOutcome.Refused,
                TransactionOutcome.Unknown,
                -> retry()
            }
        }

        private fun retry() = loop.after(RETRY_INTERVAL, ::start)
    }

    private fun hasChanged(before: Condition): Boolean {
        val present = replica.packedRecords[before.key]
        return if (present == null) before.revision != Revision.ABSENT else present.revision != before.revision
    }

    private companion object {
        val RETRY_INTERVAL = 200.milliseconds
    }
}
