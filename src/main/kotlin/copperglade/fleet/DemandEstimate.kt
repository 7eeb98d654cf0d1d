package copperglade.fleet

import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Job
import kotlin.math.min

/** CPUs wanted now: by work that needs on-demand machines, and by work that may use spot machines as well. */
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

    /** The CPUs that [jobs] need to be done in time, those of assigned tasks included. */
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
        // The trial of a failing job uses machines that are there for others; it gets one of its own only if nothing else is wanted.
        return demand.takeIf { it.cpus > 0.0 } ?: largestTrialDemand
    }

    /** CPUs of tasks that could start at once if there were capacity: not yet assigned, and within their teams' quotas. */
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
     * The fraction of a job's tasks that must run concurrently for a job that starts at once to meet its deadline. It does not
     * grow while the job waits: by the time that further machines have booted, others have become free.
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
