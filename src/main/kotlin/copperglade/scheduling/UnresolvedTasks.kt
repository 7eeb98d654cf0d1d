package copperglade.scheduling

import copperglade.protocol.JobId

/**
 * Counts, by job, the tasks whose assignment is in flight or has an unknown outcome. Such tasks count as assigned until the
 * outcome is resolved.
 */
internal class UnresolvedTasks {
    private val tasksByJob = HashMap<JobId, Int>()

    operator fun contains(job: JobId): Boolean = job in tasksByJob

    fun of(job: JobId): Int = tasksByJob[job] ?: 0

    fun add(tasks: Map<JobId, Int>) = tasks.forEach { (job, count) -> tasksByJob.merge(job, count, Int::plus) }

    fun resolve(tasks: Map<JobId, Int>) = tasks.forEach { (job, count) ->
        tasksByJob.computeIfPresent(job) { _, sum -> (sum - count).takeIf { it > 0 } }
    }

    fun clear() = tasksByJob.clear()
}
