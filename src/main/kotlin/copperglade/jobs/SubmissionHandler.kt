package copperglade.jobs

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.Revision
import copperglade.protocol.UserApiCodec
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.LiveRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Responder
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts jobs. A submission is idempotent: its job is written only if neither a live nor an end record of the id exists, so a repeated
 * or delayed submission is answered with the job's present status.
 *
 * The steps of a submission: decoded, checked ([AdmissionCheck]), dependencies resolved ([DependencyResolver]), committed, answered.
 */
internal class SubmissionHandler(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val types: MachineTypeCatalog,
    private val admission: AdmissionCheck,
    private val statusReader: JobStatusReader,
) {
    private val dependencyResolver = DependencyResolver(replica)

    fun submit(body: ByteArray, responder: Responder) {
        val submission = JobSpecCodec.decodeSubmission(body)
        val id = when (submission) {
            is ParsedSubmission.Valid -> submission.spec.id
            is ParsedSubmission.Invalid -> submission.id ?: return responder.send(JobReplies.badRequest(submission.error))
        }
        if (replica.jobs[id]?.live != null || replica.endRecordOf(id) != null) return answerStatus(id, responder)
        when (submission) {
            is ParsedSubmission.Invalid -> refuse(id, JobReplies.badRequest(submission.error), responder)
            is ParsedSubmission.Valid -> check(submission, responder)
        }
    }

    private fun check(submission: ParsedSubmission.Valid, responder: Responder) {
        if (!types.isLoaded || replica.state != ReplicaState.CURRENT ||
            store.isUserQueueFull()
        ) {
            return responder.send(JobReplies.unavailable())
        }
        val spec = submission.spec
        val refusal = admission.refusalOf(spec)
        when {
            refusal != null -> refuse(spec.id, refusal, responder)
            spec.id in submission.dependencies -> refuse(spec.id, dependencyProblem("names the job itself"), responder)
            else -> dependencyResolver.resolve(submission.dependencies) { onDependencies(spec, it, responder) }
        }
    }

    private fun onDependencies(spec: JobSpec, resolution: DependencyResolution, responder: Responder) {
        when (resolution) {
            DependencyResolution.Unavailable -> responder.send(JobReplies.unavailable())
            is DependencyResolution.Unsatisfiable ->
                refuse(spec.id, dependencyProblem("${resolution.id}: ${resolution.problem}"), responder)
            is DependencyResolution.Accepted -> {
                // A job that depends on a cancelled job is accepted nevertheless, and stored as cancelled.
                val record = LiveRecord(spec, loop.wallMillis(), resolution.anyAborted, resolution.open)
                if (record.dependencies.isEmpty() || store.limits.canStore(record)) {
                    commit(record, MAX_RETRIES, responder)
                } else {
                    refuse(spec.id, JobReplies.tooLarge(JobSpecCodec.DEPENDENCIES), responder)
                }
            }
        }
    }

    private fun commit(record: LiveRecord, retriesLeft: Int, responder: Responder) {
        val id = record.spec.id
        val transaction = Transaction(
            listOf(Condition(Keys.live(id), Revision.ABSENT), Condition(Keys.ended(id), Revision.ABSENT)),
            listOf(Write.Set(Keys.live(id), RecordCodec.encode(record))),
        )
        store.commit(WritePriority.USER, transaction) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied -> onAccepted(record, transaction, outcome.revision, responder)
                is TransactionOutcome.Conflict -> answerStatus(id, responder)
                TransactionOutcome.Refused -> retryOrGiveUp(record, retriesLeft, responder)
                TransactionOutcome.Unknown, TransactionOutcome.NoSuchLease -> responder.send(JobReplies.unavailable())
            }
        }
    }

    private fun onAccepted(record: LiveRecord, transaction: Transaction, revision: Revision, responder: Responder) {
        val spec = record.spec
        replica.applyCommitted(transaction, revision)
        log.debug("job_accepted job={} tasks={} load={}", spec.id, spec.tasks, spec.workloadClass)
        val status = if (record.cancelled) JobStatus.CANCELLED else JobStatus.QUEUED
        responder.send(Reply(HttpStatus.CREATED, UserApiCodec.encodeStatus(spec.id, status)))
    }

    private fun retryOrGiveUp(record: LiveRecord, retriesLeft: Int, responder: Responder) {
        if (retriesLeft == 0) return responder.send(JobReplies.unavailable())
        loop.after(RETRY_INTERVAL) { commit(record, retriesLeft - 1, responder) }
    }

    /** Replies with the status of the job if it was accepted before, otherwise with [refusal]. */
    private fun refuse(id: JobId, refusal: Reply, responder: Responder) = statusReader.read(id) { result ->
        responder.send(
            when (result) {
                is JobStatusResult.Found -> JobReplies.status(result.summary)
                JobStatusResult.NeverAccepted -> refusal
                JobStatusResult.Unavailable -> JobReplies.unavailable()
            },
        )
    }

    /** Replies to a repeated submission with the job's status, or asks the user to retry if the job's record no longer exists. */
    private fun answerStatus(id: JobId, responder: Responder) = refuse(id, JobReplies.unavailable(), responder)

    private fun dependencyProblem(problem: String) = JobReplies.unprocessable("${JobSpecCodec.DEPENDENCIES}: $problem")

    private companion object {
        const val MAX_RETRIES = 2
        val RETRY_INTERVAL = 100.milliseconds
        val log = LoggerFactory.getLogger("jobs")
    }
}
