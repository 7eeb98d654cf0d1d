package copperglade.fleet

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineAvailability
import copperglade.protocol.Resources
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Job
import kotlin.math.max
import kotlin.math.min

/** Which machines a task may run on. */
data class PlacementConstraint(val types: List<String>?, val zone: String?, val spotAllowed: Boolean) {
    /** Whether it excludes machine types or zones. */
    val isRestricted: Boolean get() = types != null || zone != null

    fun allows(type: String, machineZone: String, spot: Boolean): Boolean =
        (types == null || type in types) && (zone == null || zone == machineZone) && (!spot || spotAllowed)
}

/** CPUs that wait for capacity under a [PlacementConstraint], and the largest request among them. */
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
 * Demand that only some machines can meet. The fleet as a whole may be large enough while all of its free capacity is where the
 * waiting work may not run, or in pieces that are too small for a task.
 */
object ConstrainedDemand {
    private class WaitingJob(val job: Job, val spec: JobSpec, val constraint: PlacementConstraint) {
        /** One machine is enough to end fragmentation; constrained tasks all need machines that they may use. */
        val tasks: Int get() = if (constraint.isRestricted) job.wantedTasks - job.assignments().size else 1
    }

    /**
     * The waiting work by its constraint.
     *
     * @param zoneOf the zone in which a job that must stay in one has begun.
     * @param isFragmented whether a task of the job has waited for long though all free capacity together would hold it.
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

    /** Null where the job has no unassigned tasks, or is blocked. */
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

    /** CPUs of free capacity that such work could have at once. */
    fun freeCpus(constraint: PlacementConstraint, work: ConstrainedWork, machines: Collection<MachineAvailability>): Double = machines
        .filter { it.usable && constraint.allows(it.type, it.zone, it.spot) && work.largestRequest.fitsIn(it.free) }
        .sumOf { it.free.cpus }
}
