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

/** What a job turned out to be. */
internal sealed interface JobStatusResult {
    /** [summary] is no older than the question. */
    class Known(val summary: JobSummary) : JobStatusResult

    /** No job of this id was ever accepted. */
    data object NeverAccepted : JobStatusResult

    /** The state service didn't tell in time. */
    data object Unavailable : JobStatusResult
}

/**
 * Reads the present status of a job, from a reading of the state service that was asked for after the question.
 *
 * Guards against answers that contradict each other: whatever another controller has told a user before is in such a reading.
 */
internal class JobStatusReader(private val loop: EventLoop, private val replica: Replica) {
    /** Calls [onResult] once, now or later. */
    fun read(id: JobId, onResult: (JobStatusResult) -> Unit) {
        // An end never changes, so a remembered one needs no reading.
        val end = replica.endRecordOf(id)
        if (end != null) return onResult(JobStatusResult.Known(summaryOf(id, end)))
        readRecords(id, loop.now(), onResult)
    }

    private fun readRecords(id: JobId, askedAt: MonotonicTime, onResult: (JobStatusResult) -> Unit) =
        replica.catchUp { outcome -> onRecords(id, askedAt, outcome, onResult) }

    private fun onRecords(id: JobId, askedAt: MonotonicTime, outcome: CatchUpOutcome, onResult: (JobStatusResult) -> Unit) {
        val job = replica.jobs[id]
        val end = replica.endRecordOf(id)
        when {
            // This process may have stood still between the reading and now, and another may have told the user more.
            outcome != CatchUpOutcome.Current || loop.now() >= askedAt + MAX_READ_AGE -> onResult(JobStatusResult.Unavailable)
            end != null -> onResult(JobStatusResult.Known(summaryOf(id, end)))
            // A dependency ended before this process began, and isn't known to be done or cancelled yet.
            replica.dependencies.hasUnknownDependencies(id) -> onResult(JobStatusResult.Unavailable)
            // The mark was learned ahead of the reading: the last task may have been recorded just before it.
            job != null && job.isCancelledAfter(replica.knownRevision) && !job.complete -> readRecords(id, askedAt, onResult)
            job?.live != null -> onResult(JobStatusResult.Known(summaryOf(job)))
            else -> replica.readEndRecord(id) { onEndRecord(id, it, onResult) }
        }
    }

    private fun onEndRecord(id: JobId, outcome: ReadOutcome, onResult: (JobStatusResult) -> Unit) {
        val end = replica.endRecordOf(id)
        onResult(
            when {
                outcome == ReadOutcome.Failed -> JobStatusResult.Unavailable
                end != null -> JobStatusResult.Known(summaryOf(id, end))
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
