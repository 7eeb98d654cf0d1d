package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.storage.Replica

/**
 * The failing jobs: arrays whose tasks fail on every machine and of which no task has ever completed. One task of a failing job is
 * tried at a time, with growing delays, until the user cancels the job or a task completes.
 *
 * A shard owner stores which jobs are failing with the outcomes of its shard, where the leader and later owners read it.
 */
class FailingJobs(private val replica: Replica, private val failureEvidence: FailureEvidence) {
    /** Whether the job [id] is failing, according to the records or to the failures that this process has observed. */
    operator fun contains(id: JobId): Boolean {
        val job = replica.jobs[id] ?: return false
        return job.failing || (job.spec?.kind == JobKind.ARRAY && job.done.isEmpty && failureEvidence.isFailingJob(id))
    }

    /** Whether the records already mark [job] as failing. Further failures of the job are then no evidence against machines. */
    fun isRecorded(job: JobId): Boolean = replica.jobs[job]?.failing == true

    /** Whether the replica has [job] and no task of the job has ever completed. */
    fun neverCompleted(job: JobId): Boolean = replica.jobs[job]?.done?.isEmpty ?: false

    /** Whether a task of [job] has failed on [machine] too recently for another task of the job to be placed there. */
    fun failedRecentlyOn(job: JobId, machine: MachineName, now: MonotonicTime): Boolean = failureEvidence.shouldAvoid(job, machine, now)

    /** Records that the task of [run] has failed on [machine]. */
    fun recordFailure(run: Run, machine: MachineName, now: MonotonicTime) =
        failureEvidence.recordFailure(run.task, machine, run.attemptDuration(now), now)

    /** Records that the task of [run] has completed on [machine]. */
    fun recordCompletion(run: Run, machine: MachineName) = failureEvidence.recordCompletion(run.task, machine, run.startSentAt)
}
