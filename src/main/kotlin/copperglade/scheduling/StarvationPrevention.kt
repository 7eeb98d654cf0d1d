package copperglade.scheduling

import kotlin.math.max
import kotlin.math.min

/**
 * A job with unassigned tasks.
 *
 * @property runningCpus the CPUs of the job's assigned tasks.
 * @property hasStarted whether any of the job's tasks has ever been assigned.
 * @property canMeetDeadline whether any multiple of the job's deadline that the objectives name is still feasible.
 */
class WaitingJob<T>(
    val job: T,
    val waitedSeconds: Double,
    val taskCpus: Double,
    val runningCpus: Double,
    val hasStarted: Boolean,
    val canMeetDeadline: Boolean,
)

/** The number of [tasks] of a starving [job] that are assigned ahead of the [DeadlinePlan]. */
data class StarvingJobShare<T>(val job: T, val tasks: Int)

/**
 * Bounds the starvation that [DeadlinePlan] alone would allow: the plan defers the largest jobs as long as smaller ones keep
 * arriving, so that under lasting overload the largest jobs would never run.
 *
 * A job that has waited for the starvation threshold starts with a few tasks, whatever other jobs are waiting. Starving jobs
 * that can't meet their deadlines any more also share a part of the machines in order of arrival; that part grows with the
 * waiting time of the first of these jobs. The plan assigns all other capacity.
 */
class StarvationPrevention(private val starvationThresholdSeconds: Double, private val starvationShare: Double) {
    /** Returns the shares of the starving [jobs] on machines with [poolCpus] CPUs in total, longest waiting first. */
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

        /** The deadline plan keeps half of the machines for any number of starving jobs, unless the operators set a larger share. */
        const val MAX_STARVATION_SHARE = 0.5
    }
}
