package copperglade.scheduling

import kotlin.math.max
import kotlin.math.min

/**
 * A job with unassigned tasks.
 *
 * @property runningCpus CPUs of its tasks that are assigned.
 * @property hasStarted whether any of its tasks has ever been assigned.
 * @property canMeetDeadline whether any multiple of its deadline that counts is still feasible.
 */
class WaitingJob<T>(
    val job: T,
    val waitedSeconds: Double,
    val taskCpus: Double,
    val runningCpus: Double,
    val hasStarted: Boolean,
    val canMeetDeadline: Boolean,
)

/** How many [tasks] of a starving [job] are assigned ahead of the deadline plan. */
data class StarvingJobShare<T>(val job: T, val tasks: Int)

/**
 * Bounds the starvation that [DeadlinePlan] alone would allow: it defers the largest jobs as long as smaller ones keep
 * arriving, so that under lasting overload these would never run.
 *
 * A job that has waited for the starvation threshold starts with a few tasks, whatever else waits. Starving jobs that can't
 * meet their deadlines any more also share a part of the machines in order of arrival; that part grows with the waiting time
 * of the first of them. All other capacity is left to the plan.
 */
class StarvationPrevention(private val starvationThresholdSeconds: Double, private val starvationShare: Double) {
    /** The shares of the starving ones among [jobs] on machines that have [poolCpus] in all, longest waiting first. */
    fun <T> sharesOf(jobs: List<WaitingJob<T>>, poolCpus: Double): List<StarvingJobShare<T>> {
        val starving = jobs.filter { it.waitedSeconds >= starvationThresholdSeconds }.sortedByDescending { it.waitedSeconds }
        val late = starving.filter { !it.canMeetDeadline }
        val waitRatio = (late.firstOrNull()?.waitedSeconds ?: 0.0) / starvationThresholdSeconds
        val poolShare = min(starvationShare * waitRatio, max(starvationShare, MAX_STARVATION_SHARE))
        var remainingCpus = poolCpus * poolShare - late.sumOf { it.runningCpus }
        val shares = ArrayList<StarvingJobShare<T>>()
        for (job in starving) {
            var tasks = if (job.hasStarted) 0 else INITIAL_TASKS
            if (!job.canMeetDeadline && remainingCpus > 0.0) tasks = maxOf(tasks, (remainingCpus / job.taskCpus).toInt())
            if (tasks == 0) continue
            remainingCpus -= tasks * job.taskCpus
            shares += StarvingJobShare(job.job, tasks)
        }
        return shares
    }

    private companion object {
        const val INITIAL_TASKS = 2

        /** The deadline plan keeps half of the machines however many jobs starve, unless the operators set a larger share. */
        const val MAX_STARVATION_SHARE = 0.5
    }
}
