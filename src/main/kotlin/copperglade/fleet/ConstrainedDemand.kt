package copperglade.fleet

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineAvailability
import copperglade.protocol.Resources
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Job
import kotlin.math.max
import kotlin.math.min

/** The machines that a task may run on, by type, zone and kind; null stands for any type or zone. */
data class PlacementConstraint(val types: List<String>?, val zone: String?, val spotAllowed: Boolean) {
    /** Whether the constraint excludes machine types or zones. */
    val isRestricted: Boolean get() = types != null || zone != null

    fun allows(type: String, machineZone: String, spot: Boolean): Boolean =
        (types == null || type in types) && (zone == null || zone == machineZone) && (!spot || spotAllowed)
}

/** The CPUs of tasks that wait for capacity under one [PlacementConstraint], and the largest request of these tasks. */
class ConstrainedWork {
    var cpus = 0.0
        private set
    var largestRequest = Resources.ZERO
        private set

    /** Adds [cpus] of tasks that request [request] each. */
    fun add(cpus: Double, request: Resources) {
        this.cpus += cpus
        if (request.cpus > largestRequest.cpus) largestRequest = request
    }
}

/**
 * Demand that only some machines can meet. The fleet as a whole may be large enough while its free capacity is only on machines
 * that the waiting tasks may not run on, or is spread over machines of which none has enough for one task.
 */
object ConstrainedDemand {
    private class WaitingJob(val job: Job, val spec: JobSpec, val constraint: PlacementConstraint) {
        /** One more machine ends fragmentation, whereas each task of a restricted job needs capacity on allowed machines. */
        val tasks: Int get() = if (constraint.isRestricted) job.wantedTasks - job.assignments().size else 1
    }

    /**
     * The waiting work, grouped by placement constraint.
     *
     * @param zoneOf returns the zone of a job's assigned tasks, for jobs that must stay in one zone; null where no task is assigned.
     * @param isFragmented whether a job has waited for long although the free capacity of all machines together would hold a task.
     */
    fun of(
        jobs: Collection<Job>,
        teams: Map<TeamName, Team>,
        zoneOf: (Job) -> String?,
        isFragmented: (Job) -> Boolean,
    ): Map<PlacementConstraint, ConstrainedWork> {
        val workByConstraint = HashMap<PlacementConstraint, ConstrainedWork>()
        val waitingJobs = jobs
            .mapNotNull { waitingJob(it, zoneOf) }
            .filter { it.constraint.isRestricted || isFragmented(it.job) }
        if (waitingJobs.isEmpty()) return workByConstraint
        val quotas = QuotaUsage(teams)
        for (job in jobs) job.spec?.let { quotas.use(it.team, job.assignments().size * it.request.cpus) }
        for (waiting in waitingJobs) {
            val cpus = usableCpus(waiting, quotas) ?: continue
            workByConstraint.getOrPut(waiting.constraint) { ConstrainedWork() }.add(cpus, waiting.spec.request)
        }
        return workByConstraint
    }

    /** Returns null where the job has no unassigned tasks or is blocked. */
    private fun waitingJob(job: Job, zoneOf: (Job) -> String?): WaitingJob? {
        val spec = job.spec ?: return null
        if (job.wantedTasks <= job.assignments().size || job.blocked) return null
        val zone = spec.zone ?: if (spec.oneZone) zoneOf(job) else null
        return WaitingJob(job, spec, PlacementConstraint(spec.types, zone, spec.spotAllowed))
    }

    /** The CPUs that the job's waiting tasks could use now; null where none of them may start. */
    private fun usableCpus(waiting: WaitingJob, quotas: QuotaUsage): Double? {
        val job = waiting.job
        if (job.cancelled || job.complete || job.failing) return null
        val taskCpus = waiting.spec.request.cpus
        val quotaCpus = quotas.remainingCpus(waiting.spec.team)
        if (quotaCpus < taskCpus) return null
        val concurrentTasks = max(1.0, waiting.tasks * DemandEstimate.concurrentFraction(job, waiting.spec))
        return min(quotaCpus, concurrentTasks * taskCpus)
    }

    /** The free CPUs of the [machines] that [constraint] allows and that have room for the largest request of [work]. */
    fun freeCpus(constraint: PlacementConstraint, work: ConstrainedWork, machines: Collection<MachineAvailability>): Double = machines
        .filter { it.usable && constraint.allows(it.type, it.zone, it.spot) && work.largestRequest.fitsIn(it.free) }
        .sumOf { it.free.cpus }
}
