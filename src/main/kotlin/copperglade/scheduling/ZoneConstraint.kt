package copperglade.scheduling

import copperglade.protocol.JobSpec

/** The zones that the `oneZone` and `spread` options of [spec] allow, given the zones of the job's [assigned] tasks. */
internal class ZoneConstraint(private val spec: JobSpec, assigned: List<String>) {
    private val tasksByZone = HashMap<String, Int>()

    init {
        assigned.forEach(::add)
    }

    /** Counts a further task in [zone]. */
    fun add(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }

    fun allows(zone: String): Boolean =
        (!spec.oneZone || tasksByZone.keys.all { it == zone }) && (tasksByZone[zone] ?: 0) < spec.maxTasksPerZone
}
