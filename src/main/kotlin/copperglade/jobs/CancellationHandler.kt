package copperglade.jobs

import copperglade.protocol.Cancellation
import copperglade.protocol.JobId
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.LiveRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.StoredRecord
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.Responder

/**
 * Cancels jobs: sets the cancelled mark in the live record, notifies the other controllers, and then reads the status for the reply,
 * since the last task may have been recorded as done just before the mark.
 */
internal class CancellationHandler(
    private val store: StateClient,
    private val replica: Replica,
    private val statusReader: JobStatusReader,
    private val broadcast: CancellationBroadcast,
) {
    fun cancel(id: JobId, responder: Responder) = readStatus(id, MAX_RETRIES, responder)

    private fun readStatus(id: JobId, retriesLeft: Int, responder: Responder): Unit = statusReader.read(id) { result ->
        when (result) {
            is JobStatusResult.Found -> when {
                result.summary.status.isFinal -> responder.send(JobReplies.status(result.summary))
                else -> markCancelled(id, retriesLeft, responder)
            }
            JobStatusResult.NeverAccepted -> responder.send(JobReplies.unknownJob())
            JobStatusResult.Unavailable -> responder.send(JobReplies.unavailable())
        }
    }

    private fun markCancelled(id: JobId, retriesLeft: Int, responder: Responder) {
        val live = replica.jobs[id]?.live
        if (live == null || retriesLeft == 0) return responder.send(JobReplies.unavailable())
        val transaction = markTransaction(id, live)
        store.commit(WritePriority.USER, transaction) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    replica.applyCommitted(transaction, outcome.revision)
                    broadcast.broadcast(Cancellation(id, outcome.revision)) { readStatus(id, retriesLeft - 1, responder) }
                }
                TransactionOutcome.Refused -> responder.send(JobReplies.unavailable())
                is TransactionOutcome.Conflict, TransactionOutcome.NoSuchLease, TransactionOutcome.Unknown ->
                    readStatus(id, retriesLeft - 1, responder)
            }
        }
    }

    private fun markTransaction(id: JobId, live: StoredRecord<LiveRecord>) = Transaction(
        listOf(Condition(Keys.live(id), live.revision)),
        listOf(Write.Set(Keys.live(id), RecordCodec.encode(cancelledRecord(live.value)))),
    )

    /**
     * Returns the record with the cancelled mark. A record that was accepted under higher limits may have become too large for a stored
     * value. Only its list of machine types can make it too large, so the list is dropped then.
     */
    private fun cancelledRecord(live: LiveRecord): LiveRecord {
        if (store.limits.canStore(live)) return live.withCancelledMark()
        return LiveRecord(live.spec.withoutTypes(), live.acceptedAtMillis, cancelled = true, live.dependencies)
    }

    private companion object {
        const val MAX_RETRIES = 2
    }
}
