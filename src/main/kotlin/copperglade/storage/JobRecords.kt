package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus

/**
 * An accepted job that has not ended.
 *
 * @property cancelled the mark of a cancellation, which is never taken back.
 * @property dependencies jobs that have to be done before it and were not when it was accepted.
 */
class LiveRecord(val spec: JobSpec, val acceptedAtMillis: Long, val cancelled: Boolean, val dependencies: List<JobId> = emptyList()) {
    fun withCancelledMark() = LiveRecord(spec, acceptedAtMillis, cancelled = true, dependencies)
}

/** How a job ended. It takes the live record's place and never changes. */
class EndRecord(val status: JobStatus, val tasksDone: Int)
