package copperglade.jobs

import copperglade.membership.Leadership
import copperglade.observability.ActionAudit
import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.safety.ActionGuard
import copperglade.storage.Condition
import copperglade.storage.EndRecord
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaChanges
import copperglade.storage.ReplicaListener
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import kotlin.math.min

/**
 * Ends jobs, on the leader: replaces the live record of a job that is done or cancelled, and has no assigned tasks, by a small end
 * record. Entries for such jobs in packed records are dropped when the packed records are next rewritten.
 *
 * Several jobs share a transaction, which is conditional on the leader key and on each live record: a delayed copy of the transaction
 * changes nothing.
 */
class JobFinalizer(
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
) : ReplicaListener {
    private val inFlight = HashSet<JobId>()

    /** Jobs that have changed since they were last examined; null if this process was not the leader and may have missed some. */
    private var changedJobs: HashSet<JobId>? = null

    override fun changed(changes: ReplicaChanges) {
        if (leadership.leading) changedJobs?.addAll(changes.jobs) else changedJobs = null
    }

    /** Ends the jobs that have become ready to end since the last round, up to the maximum in flight. */
    fun round() {
        if (inFlight.size >= MAX_IN_FLIGHT) return
        val candidates = changedJobs ?: HashSet(replica.jobs.keys)
        changedJobs = HashSet()
        val endable = candidates.mapNotNull { replica.jobs[it] }.filter { it.id !in inFlight && guard.mayEnd(it) }
        val jobsPerTransaction = min(MAX_JOBS_PER_TRANSACTION, store.limits.transactionWrites / WRITES_PER_JOB).coerceAtLeast(1)
        endable.chunked(jobsPerTransaction).forEachIndexed { index, jobs ->
            if (index < MAX_IN_FLIGHT) finalize(jobs) else jobs.forEach { examineAgain(it.id) }
        }
    }

    private fun examineAgain(job: JobId) {
        changedJobs?.add(job)
    }

    private fun finalize(candidates: List<Job>) {
        val jobs = guard.approveEnds(candidates)
        if (jobs.isEmpty()) return
        jobs.forEach { audit.recordJobEnd(it.id) }
        val transaction = endTransaction(jobs)
        val ids = jobs.map { it.id }
        inFlight += ids
        store.commit(WritePriority.CLEANUP, transaction) { outcome -> onCommitted(ids, transaction, outcome) }
    }

    private fun endTransaction(jobs: List<Job>): Transaction {
        val conditions = ArrayList<Condition>()
        val writes = ArrayList<Write>()
        conditions += leadership.fencingCondition
        for (job in jobs) {
            val end = EndRecord(if (job.complete) JobStatus.DONE else JobStatus.CANCELLED, job.done.cardinality())
            conditions += Condition(Keys.live(job.id), job.liveRevision())
            writes += Write.Set(Keys.ended(job.id), RecordCodec.encode(end))
            writes += Write.Delete(Keys.live(job.id))
        }
        return Transaction(conditions, writes)
    }

    private fun onCommitted(ids: List<JobId>, transaction: Transaction, outcome: TransactionOutcome) {
        when (outcome) {
            is TransactionOutcome.Applied -> {
                replica.applyCommitted(transaction, outcome.revision)
                inFlight -= ids.toSet()
            }
            // The jobs are examined again once the replica has records newer than the attempt.
            is TransactionOutcome.Conflict, TransactionOutcome.NoSuchLease, TransactionOutcome.Refused, TransactionOutcome.Unknown ->
                replica.catchUp {
                    inFlight -= ids.toSet()
                    ids.forEach(::examineAgain)
                }
        }
    }

    private companion object {
        const val WRITES_PER_JOB = 2

        /** A larger transaction would delay the assignments that are queued behind it. */
        const val MAX_JOBS_PER_TRANSACTION = 3
        const val MAX_IN_FLIGHT = 20
    }
}
