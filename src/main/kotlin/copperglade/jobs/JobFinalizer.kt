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
 * The leader's cleanup: a job that is over, with nothing of it left on any machine, becomes a small final record.
 * Several share a transaction. What packed records still say of them goes with the packed records' next rewrite.
 */
class JobFinalizer(
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val guard: ActionGuard,
    private val audit: ActionAudit,
) : ReplicaListener {
    private val inFlight = HashSet<JobId>()

    /** Jobs that have changed since they were last looked at; null where some may have been missed, not leading. */
    private var changed: HashSet<JobId>? = null

    override fun changed(changes: ReplicaChanges) {
        if (leadership.leading) changed?.addAll(changes.jobs) else changed = null
    }

    fun round() {
        if (inFlight.size >= MAX_IN_FLIGHT) return
        val looked = changed ?: HashSet(replica.jobs.keys)
        changed = HashSet()
        val over = looked.mapNotNull { replica.jobs[it] }.filter { it.id !in inFlight && guard.mayEnd(it) }
        val jobsAtOnce = min(JOBS_AT_ONCE, store.limits.transactionWrites / WRITES_PER_JOB).coerceAtLeast(1)
        over.chunked(jobsAtOnce).forEachIndexed { index, jobs ->
            if (index < MAX_IN_FLIGHT) finalize(jobs) else jobs.forEach { lookAgain(it.id) }
        }
    }

    private fun lookAgain(job: JobId) {
        changed?.add(job)
    }

    private fun finalize(over: List<Job>) {
        val jobs = guard.approveEnds(over)
        if (jobs.isEmpty()) return
        jobs.forEach { audit.recordJobEnd(it.id) }
        val conditions = ArrayList<Condition>()
        val writes = ArrayList<Write>()
        conditions += leadership.condition
        for (job in jobs) {
            val end = EndRecord(if (job.complete) JobStatus.DONE else JobStatus.CANCELLED, job.done.cardinality())
            conditions += Condition(Keys.live(job.id), job.liveRevision())
            writes += Write.Set(Keys.ended(job.id), RecordCodec.encode(end))
            writes += Write.Delete(Keys.live(job.id))
        }
        val transaction = Transaction(conditions, writes)
        val ids = jobs.map { it.id }
        inFlight += ids
        store.commit(WritePriority.CLEANUP, transaction) { outcome ->
            if (outcome is TransactionOutcome.Applied) {
                replica.applyCommitted(transaction, outcome.revision)
                inFlight -= ids.toSet()
            } else {
                replica.catchUp {
                    inFlight -= ids.toSet()
                    ids.forEach(::lookAgain)
                }
            }
        }
    }

    private companion object {
        const val WRITES_PER_JOB = 2

        /** Small steps: a large one would hold up the assignments behind it. */
        const val JOBS_AT_ONCE = 3
        const val MAX_IN_FLIGHT = 20
    }
}
