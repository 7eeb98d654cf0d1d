package copperglade.scheduling

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
