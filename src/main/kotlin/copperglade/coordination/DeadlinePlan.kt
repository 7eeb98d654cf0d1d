package copperglade.coordination

import java.util.PriorityQueue

/** A job as the plan sees it: the work left in it and when it is due at each multiple of its deadline that counts. */
class PlannedJob<T>(val job: T, val workCpuS: Double, val dueInS: List<Double>)

/**
 * The order in which jobs with deadlines should get room when there may not be enough for all: as many as possible in
 * time. Moore and Hodgson's rule, with the machines taken as one pool: go by due time, and whenever the jobs so far
 * can't all be in time, put off the one with the most work. What is put off is planned for the next multiple of its
 * deadline, behind what is in time; what can't make any goes last, least work first.
 */
object DeadlinePlan {
    fun <T> order(jobs: List<PlannedJob<T>>, poolCpus: Double): List<T> {
        val ordered = ArrayList<T>(jobs.size)
        var left = jobs
        var begunS = 0.0
        for (pass in 0 until (jobs.maxOfOrNull { it.dueInS.size } ?: 0)) {
            val (due, undue) = left.partition { pass < it.dueInS.size }
            val inTime = inTime(due, pass, begunS, poolCpus)
            ordered += inTime.map { it.job }
            begunS += inTime.sumOf { it.workCpuS } / poolCpus
            val planned = inTime.toHashSet()
            left = due.filter { it !in planned } + undue
        }
        return ordered + left.sortedBy { it.workCpuS }.map { it.job }
    }

    private fun <T> inTime(jobs: List<PlannedJob<T>>, pass: Int, begunS: Double, poolCpus: Double): List<PlannedJob<T>> {
        val chosen = PriorityQueue<PlannedJob<T>>(compareByDescending { it.workCpuS })
        var endS = begunS
        for (job in jobs.sortedBy { it.dueInS[pass] }) {
            chosen += job
            endS += job.workCpuS / poolCpus
            if (endS > job.dueInS[pass]) endS -= chosen.remove().workCpuS / poolCpus
        }
        return chosen.sortedBy { it.dueInS[pass] }
    }
}
