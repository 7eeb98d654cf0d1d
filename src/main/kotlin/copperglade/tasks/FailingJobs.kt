package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.storage.Replica

/**
 * Which jobs are failing: arrays whose tasks fail wherever they run and of which no task has ever completed. Of such a job one
 * task is tried at a time, with growing delays, until its user cancels it or a task completes after all.
 *
 * What an owner finds out is stored with the outcomes of its shard, so that the leader and later owners know it as well.
 */
class FailingJobs(private val replica: Replica, private val failureEvidence: FailureEvidence) {
    /** Whether the job [id] is failing, by the records or by what this process has seen itself. */
    operator fun contains(id: JobId): Boolean {
        val job = replica.jobs[id] ?: return false
        return job.failing || (job.spec?.kind == JobKind.ARRAY && job.done.isEmpty && failureEvidence.isFailingJob(id))
    }

    /** Whether the records already name [job] as failing; its failures then say nothing new, least of all about machines. */
    fun isRecorded(job: JobId): Boolean = replica.jobs[job]?.failing == true

    /** Whether [job] is known and no task of it has ever completed. */
    fun neverCompleted(job: JobId): Boolean = replica.jobs[job]?.done?.isEmpty ?: false

    /** Whether a task of [job] has failed on [machine] too recently for another to be placed there. */
    fun failedRecentlyOn(job: JobId, machine: MachineName, now: MonotonicTime): Boolean = failureEvidence.shouldAvoid(job, machine, now)

    /** Records that a task of [job] has failed on [machine]. */
    fun recordFailure(job: JobId, machine: MachineName, now: MonotonicTime) = failureEvidence.recordFailure(job, machine, now)

    /** Records that a task of [job] has completed on [machine]. */
    fun recordCompletion(job: JobId, machine: MachineName) = failureEvidence.recordCompletion(job, machine)
}
