package copperglade.storage

import copperglade.protocol.JobId

/** The jobs of which any live record is known. Each change marks its job in the [ReplicaChanges] of the round. */
internal class JobTable {
    private val jobs = HashMap<JobId, Job>()

    val byId: Map<JobId, Job> get() = jobs

    fun find(id: JobId): Job? = jobs[id]

    /** The job, created where there is none. */
    fun getOrCreate(id: JobId, changes: ReplicaChanges): Job {
        changes.jobs += id
        return jobs.getOrPut(id) { Job(id) }
    }

    /** Applies [change] to the job if there is one, and removes the job once it has no records left. */
    inline fun edit(id: JobId, changes: ReplicaChanges, change: (Job) -> Unit) {
        val job = jobs[id] ?: return
        changes.jobs += id
        change(job)
        if (job.hasNoRecords) jobs.remove(id)
    }

    fun clear() = jobs.clear()
}
