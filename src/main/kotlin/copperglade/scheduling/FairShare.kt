package copperglade.scheduling

import copperglade.protocol.TeamName
import java.util.PriorityQueue
import kotlin.math.max
import kotlin.math.min

/** A job that waits: how long it has, how many of its CPUs run, and whether any task of it has ever begun. */
class WaitingJob<T>(
    val job: T,
    val waitedS: Double,
    val taskCpus: Double,
    val runningCpus: Double,
    val begun: Boolean,
    val mayBeInTime: Boolean,
)

/**
 * What bounds the waiting that [DeadlinePlan] alone would not: it puts off the largest jobs for as long as smaller ones
 * keep coming, so under lasting overload these would never run. A job that has waited for [afterS] begins with a few
 * tasks, whatever else waits; and what can't be in time any more shares a part of the machines in order of arrival, small
 * at first and larger the longer the first of them has waited. The rest, and so nearly all jobs in time, stays the plan's.
 */
class FairShare(private val afterS: Double, private val share: Double) {
    /** How many tasks of which jobs come before the plan's. */
    fun <T> of(jobs: List<WaitingJob<T>>, poolCpus: Double): List<Pair<T, Int>> {
        val waiting = jobs.filter { it.waitedS >= afterS }.sortedByDescending { it.waitedS }
        val late = waiting.filter { !it.mayBeInTime }
        val growth = (late.firstOrNull()?.waitedS ?: 0.0) / afterS
        var left = poolCpus * min(share * growth, max(share, LARGEST_SHARE)) - late.sumOf { it.runningCpus }
        val shares = ArrayList<Pair<T, Int>>()
        for (job in waiting) {
            var tasks = if (job.begun) 0 else FIRST_TASKS
            if (!job.mayBeInTime && left > 0.0) tasks = maxOf(tasks, (left / job.taskCpus).toInt())
            if (tasks == 0) continue
            left -= tasks * job.taskCpus
            shares += job.job to tasks
        }
        return shares
    }

    private companion object {
        const val FIRST_TASKS = 2

        /** The plan keeps half of the machines whatever waits. */
        const val LARGEST_SHARE = 0.5
    }
}
