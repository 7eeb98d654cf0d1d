package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus

/**
 * An accepted job that has not ended.
 *
 * @property cancelled the cancelled mark, which is never removed.
 * @property dependencies the jobs that this job depends on and that were not done when this job was accepted.
 */
class LiveRecord(val spec: JobSpec, val acceptedAtMillis: Long, val cancelled: Boolean, val dependencies: List<JobId> = emptyList()) {
    fun withCancelledMark() = LiveRecord(spec, acceptedAtMillis, cancelled = true, dependencies)
}

/** The final status of a job. The end record replaces the live record and never changes. */
class EndRecord(val status: JobStatus, val tasksDone: Int)
