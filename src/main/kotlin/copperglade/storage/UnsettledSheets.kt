package copperglade.storage

import copperglade.protocol.Stamp
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sees writes of unknown outcome to their end. Such a write may be applied at any later time, as long as its sheet is
 * what it was: after newer ones too, if those went to other sheets. One page then stood in two sheets, and whoever
 * loaded them took the older for the page, so that tasks told as done were to be run again. No reading shows what is still
 * on its way. So its sheet stays busy until it has changed, by that write or by being written anew as it is.
 */
class UnsettledSheets(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val urgency: Urgency,
    /** What makes the sheet ours to write. */
    private val condition: () -> Condition,
) {
    /** Calls [settled] once no copy of [sheet] can be applied any more, unless [ours] has come to be false before. */
    fun settle(sheet: SheetWrite, ours: () -> Boolean, settled: () -> Unit) {
        val again = { loop.after(PAUSE) { settle(sheet, ours, settled) } }
        replica.fresh { known ->
            if (!ours()) return@fresh
            if (!known) return@fresh again()
            if (changed(sheet.condition)) return@fresh settled()
            val same = sheet.packer.same(sheet)
            val transaction = Transaction(listOf(condition(), same.condition), listOf(same.write))
            store.commit(urgency, transaction) { outcome ->
                if (!ours()) return@commit
                if (outcome is TransactionOutcome.Applied) {
                    replica.applied(transaction, outcome.stamp)
                    settled()
                } else {
                    again()
                }
            }
        }
    }

    private fun changed(before: Condition): Boolean {
        val present = replica.sheets[before.key]
        return if (present == null) before.stamp != Stamp.ABSENT else present.stamp != before.stamp
    }

    private companion object {
        val PAUSE = 200.milliseconds
    }
}
