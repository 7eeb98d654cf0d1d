package copperglade.scheduling

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.TeamName

/** A job in the queue of a scheduling round; at most [maxTasks] of the job's tasks are assigned for this entry. */
internal class QueuedJob(val job: SchedulableJob, val maxTasks: Int)

/**
 * Orders the waiting jobs of one scheduling round: urgent jobs first, then the shares of starving jobs ([StarvationPrevention]), then
 * the rest by priority, guarantee and [DeadlinePlan].
 *
 * Invariant: all waiting times are as of the round's time. If they changed while the jobs are compared, two jobs could compare differently
 * each time, and the sort would fail.
 *
 * @param roundMillis the time of the round, in wall-clock milliseconds.
 */
internal class JobQueue(private val policy: SchedulingPolicy, private val roundMillis: Long) {
    private val objectives = policy.objectives

    /** Returns the order in which [waiting] jobs are assigned to machines with [poolCpus] CPUs in total. */
    fun order(waiting: List<SchedulableJob>, poolCpus: Double): List<QueuedJob> {
        val (urgent, others) = byPriority(waiting, poolCpus).partition { it.isUrgent }
        val shares = policy.starvationPrevention.sharesOf(others.map(::waitingJob), poolCpus)
        val withShare = shares.mapTo(HashSet()) { it.job }
        return urgent.map { QueuedJob(it, MAX_TASKS_PER_JOB_PER_ROUND) } +
            shares.map { QueuedJob(it.job, it.tasks) } +
            others.filter { it !in withShare }.map { QueuedJob(it, MAX_TASKS_PER_JOB_PER_ROUND) }
    }

    /** Returns the time since the job could first have been started, as of the round's time. */
    fun waitedSeconds(job: SchedulableJob): Double = (roundMillis - job.job.startableSinceMillis) / MILLIS_PER_SECOND

    private fun byPriority(waiting: List<SchedulableJob>, poolCpus: Double): List<SchedulableJob> {
        val (withDeadline, withoutDeadline) = waiting.partition { it.deadline != null }
        val teamCpus = { team: TeamName -> policy.teams[team]?.maxCpus?.takeIf { it > 0.0 } ?: poolCpus }
        val planned = DeadlinePlan(poolCpus, teamCpus).order(withDeadline.map(::plannedJob))
        val rank = HashMap<JobId, Int>()
        planned.forEachIndexed { index, job -> rank[job.job.id] = index }
        return (withoutDeadline + planned).sortedWith(
            compareBy<SchedulableJob> { it.spec.priority }
                // A job that has waited too long for its guarantee is ranked by the plan alone. Otherwise a team's late jobs,
                // which are its oldest, would use up the team's guarantee and make the next jobs late as well.
                .thenBy { if (it.isGuaranteed && waitedSeconds(it) <= objectives.guaranteeWithinSeconds) 0 else 1 }
                .thenBy { rank[it.job.id] ?: -1 }
                .thenBy { it.acceptedAtMillis },
        )
    }

    private fun waitingJob(job: SchedulableJob): WaitingJob<SchedulableJob> {
        val taskCpus = job.spec.request.cpus
            .coerceAtLeast(MIN_TASK_CPUS)
        val hasStarted = job.assigned.isNotEmpty() || !job.job.done.isEmpty
        return WaitingJob(job, waitedSeconds(job), taskCpus, job.assigned.size * taskCpus, hasStarted, canMeetDeadline(job))
    }

    private fun plannedJob(job: SchedulableJob): PlannedJob<SchedulableJob> {
        val spec = job.spec
        val waitedSeconds = waitedSeconds(job)
        val feasible = dueInSeconds(job).filter { isFeasible(spec, it) }
        // A job that is late for every multiple of its deadline is still due by its objective, after all jobs that can be in time.
        val objective = objectives
            .latestEndSeconds(
                spec.workloadClass,
                spec.estimatedSeconds,
            )?.let { it - waitedSeconds }
            ?.takeIf { isFeasible(spec, it) }
        val dueInSeconds = if (objective == null) feasible else feasible.filter { it < objective } + objective
        val workCpuSeconds = job.wantedTasks * spec.request.cpus * spec.estimatedSeconds
        return PlannedJob(job, workCpuSeconds, dueInSeconds, waitedSeconds, spec.team)
    }

    private fun canMeetDeadline(job: SchedulableJob): Boolean =
        isFeasible(job.spec, dueInSeconds(job).lastOrNull() ?: -waitedSeconds(job))

    /** Returns whether a job can end in time on unlimited capacity: the job's last task still needs its own run time. */
    private fun isFeasible(spec: JobSpec, dueInSeconds: Double) = dueInSeconds > spec.estimatedSeconds * FEASIBILITY_FACTOR

    /**
     * Returns the times from the round's time at which the job is due: one for each deadline multiple that the objectives name for
     * the deadline's workload class.
     */
    private fun dueInSeconds(job: SchedulableJob): List<Double> {
        val deadline = job.deadline ?: return emptyList()
        val multiples = objectives.deadlineMultiples[deadline.load] ?: DEFAULT_DEADLINE_MULTIPLES
        return multiples.map { deadline.dueInSeconds(it, roundMillis) }
    }

    private companion object {
        val DEFAULT_DEADLINE_MULTIPLES = listOf(1.0)
        const val MAX_TASKS_PER_JOB_PER_ROUND = 2000
        const val MILLIS_PER_SECOND = 1000.0
        const val MIN_TASK_CPUS = 0.01

        /** Users often estimate run times too high by half. */
        const val FEASIBILITY_FACTOR = 0.7
    }
}
