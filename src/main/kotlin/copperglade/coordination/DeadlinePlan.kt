package copperglade.coordination

import copperglade.protocol.TeamName
import java.util.PriorityQueue
import kotlin.math.max
import kotlin.math.min

/** A job as the plan sees it: the work left in it and when it is due at each multiple of its deadline that counts. */
class PlannedJob<T>(
    val job: T,
    val workCpuS: Double,
    val dueInS: List<Double>,
    val waitedS: Double = 0.0,
    val team: TeamName? = null,
)

/**
 * The order in which jobs with deadlines should get room when there may not be enough for all: as many as possible in
 * time. Moore and Hodgson's rule, with the machines taken as one pool: go by due time, and whenever the jobs so far
 * can't all be in time, put off the one with the most work. What is put off is planned for the next multiple of its
 * deadline, behind what is in time; what can't make any goes last, least work first as long as none has waited for long.
 *
 * A team's limit is a pool of its own, planned first: with all machines in view, a team at its limit seems to have room
 * for everything, and going by due time alone makes nearly everything late.
 */
class DeadlinePlan(private val poolCpus: Double, private val teamCpus: (TeamName) -> Double = { poolCpus }) {
    fun <T> order(jobs: List<PlannedJob<T>>): List<T> {
        val ordered = ArrayList<T>(jobs.size)
        var left = jobs
        var begunS = 0.0
        val teamBegunS = HashMap<TeamName?, Double>()
        for (pass in 0 until (jobs.maxOfOrNull { it.dueInS.size } ?: 0)) {
            val (due, undue) = left.partition { pass < it.dueInS.size }
            val withinLimits = due.groupBy { it.team }.flatMap { (team, its) ->
                inTime(its, pass, teamBegunS[team] ?: 0.0, poolOf(team))
            }
            val inTime = inTime(withinLimits, pass, begunS, poolCpus)
            ordered += inTime.map { it.job }
            begunS += inTime.sumOf { it.workCpuS } / poolCpus
            inTime.forEach { teamBegunS.merge(it.team, it.workCpuS / poolOf(it.team), Double::plus) }
            val planned = inTime.toHashSet()
            left = due.filter { it !in planned } + undue
        }
        return ordered + left.sortedBy { it.workCpuS / poolCpus * WAITS_FOR_LESS - it.waitedS }.map { it.job }
    }

    private fun poolOf(team: TeamName?): Double = team?.let(teamCpus)?.coerceIn(SMALLEST_POOL, poolCpus) ?: poolCpus

    private fun <T> inTime(jobs: List<PlannedJob<T>>, pass: Int, begunS: Double, cpus: Double): List<PlannedJob<T>> {
        val chosen = PriorityQueue<PlannedJob<T>>(compareByDescending { it.workCpuS })
        var endS = begunS
        for (job in jobs.sortedBy { it.dueInS[pass] }) {
            chosen += job
            endS += job.workCpuS / cpus
            if (endS > job.dueInS[pass]) endS -= chosen.remove().workCpuS / cpus
        }
        return chosen.sortedBy { it.dueInS[pass] }
    }

    private companion object {
        /** What would take a second longer with all machines is passed by what came up to so many seconds later. */
        const val WAITS_FOR_LESS = 8.0
        const val SMALLEST_POOL = 1e-3
    }
}

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
