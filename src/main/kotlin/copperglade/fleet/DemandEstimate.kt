package copperglade.fleet

import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Job
import kotlin.math.min

/** The CPUs needed now, by work that requires on-demand machines and by work that may use spot machines as well. */
class Demand(val onDemandCpus: Double, val spotCpus: Double) {
    val cpus get() = onDemandCpus + spotCpus

    operator fun plus(other: Demand) = Demand(onDemandCpus + other.onDemandCpus, spotCpus + other.spotCpus)

    companion object {
        val NONE = Demand(0.0, 0.0)
    }
}

/** Estimates how many CPUs the unfinished jobs could use now, within their teams' quotas. */
object DemandEstimate {
    private const val USABLE_DEADLINE_FRACTION = 0.8

    /** The CPUs that [jobs] need in order to be done in time, including the CPUs of assigned tasks. */
    fun of(jobs: Collection<Job>, teams: Map<TeamName, Team>): Demand {
        val quotas = QuotaUsage(teams)
        var demand = Demand.NONE
        var largestTrialDemand = Demand.NONE
        for (job in jobs.filter { it.live != null }.sortedBy { it.live?.value?.acceptedAtMillis }) {
            val spec = job.spec ?: continue
            if (!isActive(job)) continue
            if (job.failing) {
                val trialDemand = demandOf(spec, spec.request.cpus)
                if (trialDemand.cpus > largestTrialDemand.cpus) largestTrialDemand = trialDemand
                continue
            }
            val wantedCpus = job.wantedTasks * spec.request.cpus * concurrentFraction(job, spec)
            val cpus = min(wantedCpus, quotas.remainingCpus(spec.team))
            quotas.use(spec.team, cpus)
            demand += demandOf(spec, cpus)
        }
        // A failing job counts as one trial task, which uses machines rented for other jobs. A machine is rented for a trial task
        // only where there is no other demand.
        return demand.takeIf { it.cpus > 0.0 } ?: largestTrialDemand
    }

    /** The CPUs of unassigned tasks, within their teams' quotas: tasks that could start at once if there were capacity. */
    fun backlogCpus(jobs: Collection<Job>, teams: Map<TeamName, Team>): Double {
        val quotas = QuotaUsage(teams)
        val waitingCpus = HashMap<TeamName, Double>()
        for (job in jobs) {
            val spec = job.spec ?: continue
            val assigned = job.assignments().size
            quotas.use(spec.team, assigned * spec.request.cpus)
            if (!isActive(job) || job.failing) continue
            waitingCpus.merge(spec.team, (job.wantedTasks - assigned) * spec.request.cpus, Double::plus)
        }
        return waitingCpus.entries.sumOf { (team, cpus) -> min(cpus, quotas.remainingCpus(team)) }
    }

    /**
     * The fraction of a job's tasks that must run concurrently for the job to meet its deadline, if the job starts as soon as it may.
     * The fraction does not grow while the job waits: by the time that further machines have booted, others have become free.
     */
    fun concurrentFraction(job: Job, spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 1.0
        val dueInSeconds = job.deadline?.dueInSeconds(1.0, job.startableSinceMillis)
        val availableSeconds = (dueInSeconds ?: (spec.estimatedSeconds * 2)) * USABLE_DEADLINE_FRACTION
        return if (availableSeconds <= spec.estimatedSeconds) 1.0 else spec.estimatedSeconds / availableSeconds
    }

    private fun isActive(job: Job) = !job.cancelled && !job.complete && !job.blocked

    private fun demandOf(spec: JobSpec, cpus: Double) = if (spec.spotAllowed) Demand(0.0, cpus) else Demand(cpus, 0.0)
}
