package copperglade.storage

import copperglade.protocol.Revision
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/**
 * Resolves writes of unknown outcome. Such a write may be applied at any later time, as long as its packed record is
 * what it was: after newer ones too, if those went to other packed records. One page then stood in two packed records,
 * and whoever loaded them took the older for the page, so that tasks told as done were to be run again. No reading
 * shows what is still on its way. So its packed record stays busy until it has changed, by that write or by being
 * written anew as it is.
 */
class UnresolvedWrites(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val urgency: WritePriority,
    /** What makes the packed record ours to write. */
    private val condition: () -> Condition,
) {
    /** Calls [resolved] once no copy of [packedWrite] can be applied any more, unless [ours] has come to be false before. */
    fun resolve(packedWrite: PackedWrite, ours: () -> Boolean, resolved: () -> Unit) {
        val again = { loop.after(PAUSE) { resolve(packedWrite, ours, resolved) } }
        replica.catchUp { caughtUp ->
            if (!ours()) return@catchUp
            when (caughtUp) {
                CatchUpOutcome.Unavailable -> return@catchUp again()
                CatchUpOutcome.Current -> {}
            }
            if (changed(packedWrite.condition)) return@catchUp resolved()
            val same = packedWrite.packer.rewriteUnchanged(packedWrite)
            val transaction = Transaction(listOf(condition(), same.condition), listOf(same.write))
            store.commit(urgency, transaction) { outcome ->
                if (!ours()) return@commit
                if (outcome is TransactionOutcome.Applied) {
                    replica.applyCommitted(transaction, outcome.revision)
                    resolved()
                } else {
                    again()
                }
            }
        }
    }

    private fun changed(before: Condition): Boolean {
        val present = replica.packedRecords[before.key]
        return if (present == null) before.revision != Revision.ABSENT else present.revision != before.revision
    }

    private companion object {
        val PAUSE = 200.milliseconds
    }
}
