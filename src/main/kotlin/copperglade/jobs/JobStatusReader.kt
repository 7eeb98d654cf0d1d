package copperglade.jobs

import copperglade.protocol.JobId
import copperglade.protocol.JobSummary
import copperglade.protocol.MonotonicTime
import copperglade.storage.CatchUpOutcome
import copperglade.storage.EndRecord
import copperglade.storage.Job
import copperglade.storage.ReadOutcome
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.seconds

/** The outcome of reading a job's status. */
internal sealed interface JobStatusResult {
    /** [summary] is no older than the request. */
    class Found(val summary: JobSummary) : JobStatusResult

    /** No job with this id was ever accepted. */
    data object NeverAccepted : JobStatusResult

    /** The current records could not be read in time. */
    data object Unavailable : JobStatusResult
}

/**
 * Reads the present status of a job from a read of the state service that is started after the request.
 *
 * This prevents replies that contradict each other: such a read includes all state that any controller has reported to a user before.
 */
internal class JobStatusReader(private val loop: EventLoop, private val replica: Replica) {
    /** Calls [onResult] exactly once, during this call or later. */
    fun read(id: JobId, onResult: (JobStatusResult) -> Unit) {
        // An end record never changes, so a cached one needs no read.
        val end = replica.endRecordOf(id)
        if (end != null) return onResult(JobStatusResult.Found(summaryOf(id, end)))
        readRecords(id, loop.now(), onResult)
    }

    private fun readRecords(id: JobId, askedAt: MonotonicTime, onResult: (JobStatusResult) -> Unit) =
        replica.catchUp { outcome -> onRecords(id, askedAt, outcome, onResult) }

    private fun onRecords(id: JobId, askedAt: MonotonicTime, outcome: CatchUpOutcome, onResult: (JobStatusResult) -> Unit) {
        val job = replica.jobs[id]
        val end = replica.endRecordOf(id)
        when {
            // This process may have paused between the read and now, while another controller reported a newer status to the user.
            outcome != CatchUpOutcome.Current || loop.now() >= askedAt + MAX_READ_AGE -> onResult(JobStatusResult.Unavailable)
            end != null -> onResult(JobStatusResult.Found(summaryOf(id, end)))
            // A dependency ended before this process started, and the replica has not read yet whether it is done or cancelled.
            replica.dependencies.hasUnknownDependencies(id) -> onResult(JobStatusResult.Unavailable)
            // The replica received the cancelled mark ahead of the read: the last task may have been recorded as done just before the mark.
            job != null && job.isCancelledAfter(replica.knownRevision) && !job.complete -> readRecords(id, askedAt, onResult)
            job?.live != null -> onResult(JobStatusResult.Found(summaryOf(job)))
            else -> replica.readEndRecord(id) { onEndRecord(id, it, onResult) }
        }
    }

    private fun onEndRecord(id: JobId, outcome: ReadOutcome, onResult: (JobStatusResult) -> Unit) {
        val end = replica.endRecordOf(id)
        onResult(
            when {
                outcome == ReadOutcome.Failed -> JobStatusResult.Unavailable
                end != null -> JobStatusResult.Found(summaryOf(id, end))
                else -> JobStatusResult.NeverAccepted
            },
        )
    }

    private fun summaryOf(id: JobId, end: EndRecord) = JobSummary(id, end.status, end.tasksDone, 0)

    private fun summaryOf(job: Job) = JobSummary(job.id, job.status(), job.done.cardinality(), job.assignments().count())

    private companion object {
        val MAX_READ_AGE = 5.seconds
    }
}
