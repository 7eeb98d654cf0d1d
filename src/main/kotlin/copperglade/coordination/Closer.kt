package copperglade.coordination

import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.protocol.Stamp
import copperglade.storage.Condition
import copperglade.storage.EndRecord
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.Write

/**
 * The lead's clearing up: a job that is over, with nothing of it left on any machine, becomes a small final record.
 * Pages that do not fit into that transaction are left without their job, and are dropped afterwards.
 */
class Closer(
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val transactionWrites: Int,
) {
    private val inFlight = HashSet<JobId>()

    fun round() {
        for (job in replica.jobs.values.toList()) {
            if (inFlight.size >= MOST_IN_FLIGHT) return
            if (job.id in inFlight) continue
            if (job.live ==
                null
            ) {
                sweep(job)
            } else if ((job.complete || job.cancelled) && job.assignments().none()) {
                close(job)
            }
        }
    }

    private fun close(job: Job) {
        val live = job.live ?: return
        val end = EndRecord(if (job.complete) JobStatus.DONE else JobStatus.CANCELLED, job.done.cardinality())
        val conditions = listOf(leadership.condition, Condition(Keys.live(job.id), live.stamp))
        val writes = listOf(Write.Set(Keys.over(job.id), RecordCodec.encode(end)), Write.Drop(Keys.live(job.id)))
        commit(job, conditions, writes + leftovers(job).take(transactionWrites - writes.size))
    }

    private fun sweep(job: Job) {
        val live = Condition(Keys.live(job.id), Stamp.ABSENT)
        commit(job, listOf(leadership.condition, live), leftovers(job).take(transactionWrites))
    }

    private fun leftovers(job: Job): List<Write> =
        job.pages.keys.map { Write.Drop(Keys.page(job.id, it)) } +
            job.works.keys.map { Write.Drop(Keys.work(job.id, it.page, it.block)) }

    private fun commit(job: Job, conditions: List<Condition>, writes: List<Write>) {
        if (writes.isEmpty()) return
        val transaction = Transaction(conditions, writes)
        inFlight += job.id
        store.commit(Urgency.CLEANING, transaction) { outcome ->
            if (outcome is TransactionOutcome.Applied) {
                replica.applied(transaction, outcome.stamp)
                inFlight -= job.id
            } else {
                replica.fresh { inFlight -= job.id }
            }
        }
    }

    private companion object {
        const val MOST_IN_FLIGHT = 20
    }
}
