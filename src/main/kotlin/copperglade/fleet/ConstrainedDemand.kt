package copperglade.fleet

import copperglade.protocol.JobSpec
import copperglade.protocol.MachineAvailability
import copperglade.protocol.Resources
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Job
import kotlin.math.max
import kotlin.math.min

/** Where some jobs' tasks may run, and nowhere else. */
data class PlacementConstraint(val types: List<String>?, val zone: String?, val spotAllowed: Boolean) {
    fun allows(type: String, machineZone: String, spot: Boolean): Boolean =
        (types == null || type in types) && (zone == null || zone == machineZone) && (!spot || spotAllowed)
}

/** CPUs that wait for room under a [PlacementConstraint], and the largest request among them. */
class ConstrainedWork(var cpus: Double, var largest: Resources)

/**
 * Waiting work that can't use every machine. The fleet as a whole may be large enough while all of its room is elsewhere:
 * a job bound to a zone that had lost its machines, the rest of them full of services, waited for ever, since there were CPUs
 * enough in the other zone. Nor did a task of six CPUs ever start where two machines had four CPUs left each.
 */
object ConstrainedDemand {
    /**
     * @param zoneOf the zone in which a job that must stay in one has begun.
     * @param fragmented whether a task of the job has waited for long though all free pieces together would hold it.
     */
    fun of(
        jobs: Collection<Job>,
        teams: Map<TeamName, Team>,
        zoneOf: (Job) -> String?,
        fragmented: (Job) -> Boolean,
    ): Map<PlacementConstraint, ConstrainedWork> {
        val bound = HashMap<PlacementConstraint, ConstrainedWork>()
        val waitingJobs = jobs.filter { it.spec != null && it.wantedTasks > it.assignments().size && !it.blocked }
        val fragmentedJobs = waitingJobs.filterTo(HashSet()) { !isBoundToPlace(it, zoneOf) && fragmented(it) }
        if (fragmentedJobs.isEmpty() && waitingJobs.none { isBound(it.spec!!) }) return bound
        val used = HashMap<TeamName, Double>()
        for (job in jobs) job.spec?.let { used.merge(it.team, job.assignments().size * it.request.cpus, Double::plus) }
        for (job in waitingJobs) {
            val spec = job.spec ?: continue
            if (job.cancelled || job.complete || job.failing) continue
            val zone = spec.zone ?: if (spec.oneZone) zoneOf(job) else null
            val isFragmented = zone == null && spec.types == null
            if (isFragmented && job !in fragmentedJobs) continue
            val waiting = if (isFragmented) 1 else job.wantedTasks - job.assignments().size
            val limit = teams[spec.team]?.cpusMax?.takeIf { it > 0.0 } ?: Double.MAX_VALUE
            val within = max(0.0, limit - (used[spec.team] ?: 0.0))
            if (within < spec.request.cpus) continue
            val cpus = min(within, max(1.0, waiting * DemandEstimate.atOnce(job, spec)) * spec.request.cpus)
            val work = bound.getOrPut(PlacementConstraint(spec.types, zone, spec.spotAllowed)) { ConstrainedWork(0.0, Resources.ZERO) }
            work.cpus += cpus
            if (spec.request.cpus > work.largest.cpus) work.largest = spec.request
        }
        return bound
    }

    /** Whether there are machines that the job's tasks can't use. */
    private fun isBoundToPlace(job: Job, zoneOf: (Job) -> String?): Boolean {
        val spec = job.spec ?: return false
        return spec.zone != null || spec.types != null || (spec.oneZone && zoneOf(job) != null)
    }

    private fun isBound(spec: JobSpec) = spec.zone != null || spec.types != null || spec.oneZone

    /** CPUs of room that such work could have at once. */
    fun freeCapacity(binding: PlacementConstraint, work: ConstrainedWork, capacities: Collection<MachineAvailability>): Double = capacities
        .filter { it.usable && binding.allows(it.type, it.zone, it.spot) && work.largest.fitsIn(it.free) }
        .sumOf { it.free.cpus }
}
