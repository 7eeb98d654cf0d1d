package copperglade.scheduling

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.TeamName
import copperglade.transport.EventLoop

/** A job's turn in a scheduling round, in which at most [maxTasks] of its tasks are assigned. */
internal class QueuedJob(val job: SchedulableJob, val maxTasks: Int)

/**
 * Orders the waiting jobs of a scheduling round: urgent ones first, then the shares of starving jobs ([FairShare]), then
 * the rest by priority, guarantee and [DeadlinePlan].
 */
internal class JobQueue(private val loop: EventLoop, private val policy: SchedulingPolicy) {
    private val objectives = policy.objectives

    /** The order in which [waiting] jobs are assigned to machines that have [poolCpus] in all. */
    fun order(waiting: List<SchedulableJob>, poolCpus: Double): List<QueuedJob> {
        val (urgent, others) = byPriority(waiting, poolCpus).partition { it.isUrgent }
        val shares = policy.fairShare.of(others.map(::waitingJob), poolCpus)
        val withShare = shares.mapTo(HashSet()) { it.job }
        return urgent.map { QueuedJob(it, MAX_TASKS_PER_JOB) } +
            shares.map { QueuedJob(it.job, it.tasks) } +
            others.filter { it !in withShare }.map { QueuedJob(it, MAX_TASKS_PER_JOB) }
    }

    /** How long the job could have been running already. */
    fun waitedSeconds(job: SchedulableJob): Double = (loop.wallMillis() - job.job.startableSinceMillis) / MILLIS_PER_SECOND

    private fun byPriority(waiting: List<SchedulableJob>, poolCpus: Double): List<SchedulableJob> {
        val (withDeadline, withoutDeadline) = waiting.partition { it.deadline != null }
        val teamCpus = { team: TeamName -> policy.teams[team]?.cpusMax?.takeIf { it > 0.0 } ?: poolCpus }
        val planned = DeadlinePlan(poolCpus, teamCpus).order(withDeadline.map(::plannedJob))
        val rank = HashMap<JobId, Int>()
        planned.forEachIndexed { index, job -> rank[job.job.id] = index }
        return (withoutDeadline + planned).sortedWith(
            compareBy<SchedulableJob> { it.spec.priority }
                // A job that is too late for its guarantee goes by the plan: otherwise a team's late jobs, being its oldest,
                // would use up its guarantee and make the next ones late as well.
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
        // A job that is late for every multiple of its deadline still has an objective to meet, after all that can be in time.
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

    /** Whether a job can be done by its deadline on unlimited capacity: its last task still needs its own run time. */
    private fun isFeasible(spec: JobSpec, dueInSeconds: Double) = dueInSeconds > spec.estimatedSeconds * FEASIBILITY_FACTOR

    /** In how many seconds the job is due, at each multiple of its deadline that the objectives of the deadline's load name. */
    private fun dueInSeconds(job: SchedulableJob): List<Double> {
        val deadline = job.deadline ?: return emptyList()
        val nowMillis = loop.wallMillis()
        return (objectives.deadlineMultiples[deadline.load] ?: DEADLINE_ONLY).map { deadline.dueInSeconds(it, nowMillis) }
    }

    private companion object {
        val DEADLINE_ONLY = listOf(1.0)
        const val MAX_TASKS_PER_JOB = 2000
        const val MILLIS_PER_SECOND = 1000.0
        const val MIN_TASK_CPUS = 0.01

        /** Users often estimate run times too high by half. */
        const val FEASIBILITY_FACTOR = 0.7
    }
}
