package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.storage.Replica

/**
 * Which jobs are taken for failing: arrays that fail wherever they run and of which no task was ever completed. Of such a job
 * one task is tried at a time, with growing pauses, until its user cancels it or a task is completed after all.
 *
 * What an owner has found out stands in the records of its shard's outcomes, so the leader and later owners know it too.
 */
class FailingJobs(private val replica: Replica, private val failureEvidence: FailureEvidence) {
    operator fun contains(id: JobId): Boolean {
        val job = replica.jobs[id] ?: return false
        return job.failing || (job.spec?.kind == JobKind.ARRAY && job.done.isEmpty && failureEvidence.blamesJob(id))
    }
}
