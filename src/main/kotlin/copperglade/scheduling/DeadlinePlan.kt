package copperglade.scheduling

import copperglade.protocol.TeamName
import java.util.PriorityQueue

/**
 * A job to be ordered by the [DeadlinePlan].
 *
 * @property workCpuSeconds the CPU time that the job's unfinished tasks need.
 * @property dueInSeconds the times from now at which the job is due, in ascending order: one for each multiple of its deadline
 * that the objectives name and that is still feasible.
 */
class PlannedJob<T>(
    val job: T,
    val workCpuSeconds: Double,
    val dueInSeconds: List<Double>,
    val waitedSeconds: Double = 0.0,
    val team: TeamName? = null,
)

/**
 * Orders jobs so that as many as possible meet their deadlines, by the Moore-Hodgson algorithm with all machines taken as one
 * pool. Jobs that can't meet their deadline are planned for its next multiple, after the jobs that can. Jobs that can meet no
 * multiple come last, those with the least work first, unless other jobs have waited for long.
 *
 * Each team's quota is first planned as a separate pool. Measured against all machines, a team at its quota would appear to
 * have capacity for all its jobs, and an order by due time alone would make nearly all of these jobs late.
 */
class DeadlinePlan(private val poolCpus: Double, private val teamCpus: (TeamName) -> Double = { poolCpus }) {
    /** Returns the jobs in the order in which they should be assigned. */
    fun <T> order(jobs: List<PlannedJob<T>>): List<T> {
        val ordered = ArrayList<T>(jobs.size)
        var remaining = jobs
        var poolBusySeconds = 0.0
        val teamBusySeconds = HashMap<TeamName?, Double>()
        for (multiple in 0 until (jobs.maxOfOrNull { it.dueInSeconds.size } ?: 0)) {
            val (due, notDue) = remaining.partition { multiple < it.dueInSeconds.size }
            val withinQuotas = due.groupBy { it.team }.flatMap { (team, teamJobs) ->
                mooreHodgson(teamJobs, multiple, teamBusySeconds[team] ?: 0.0, cpusOf(team))
            }
            val onTime = mooreHodgson(withinQuotas, multiple, poolBusySeconds, poolCpus)
            ordered += onTime.map { it.job }
            poolBusySeconds += onTime.sumOf { it.workCpuSeconds } / poolCpus
            onTime.forEach { teamBusySeconds.merge(it.team, it.workCpuSeconds / cpusOf(it.team), Double::plus) }
            val planned = onTime.toHashSet()
            remaining = due.filter { it !in planned } + notDue
        }
        return ordered + remaining.sortedBy(::lateOrder).map { it.job }
    }

    /** Returns the rank of a job that is late in any case: its work, reduced for each second that the job has waited. */
    private fun lateOrder(job: PlannedJob<*>): Double = job.workCpuSeconds / poolCpus * WAITED_SECONDS_PER_WORK_SECOND - job.waitedSeconds

    private fun cpusOf(team: TeamName?): Double = team?.let(teamCpus)?.coerceIn(MIN_POOL_CPUS, poolCpus) ?: poolCpus

    /**
     * Returns the largest set of [jobs] that can all meet the given [multiple] of their deadlines on [cpus] that are busy for
     * [busySeconds], in order of due time. Takes the jobs in that order, and drops the job with the most work whenever the jobs
     * taken so far can't all be in time.
     */
    private fun <T> mooreHodgson(jobs: List<PlannedJob<T>>, multiple: Int, busySeconds: Double, cpus: Double): List<PlannedJob<T>> {
        val onTime = PriorityQueue<PlannedJob<T>>(compareByDescending { it.workCpuSeconds })
        var endSeconds = busySeconds
        for (job in jobs.sortedBy { it.dueInSeconds[multiple] }) {
            onTime += job
            endSeconds += job.workCpuSeconds / cpus
            if (endSeconds > job.dueInSeconds[multiple]) endSeconds -= onTime.remove().workCpuSeconds / cpus
        }
        return onTime.sortedBy { it.dueInSeconds[multiple] }
    }

    private companion object {
        /** A second of work on the whole pool is worth this many seconds of waiting. */
        const val WAITED_SECONDS_PER_WORK_SECOND = 8.0
        const val MIN_POOL_CPUS = 1e-3
    }
}
