package copperglade.scheduling

import copperglade.protocol.Resources
import copperglade.settings.Team

/** The resources that a team's jobs use and request, counted during one scheduling round. */
internal class TeamUsage(val team: Team) {
    /** Resources of the team's tasks that are assigned, or whose assignment is still unresolved. */
    var used = Resources.ZERO
        private set

    private var requested = Resources.ZERO

    /** Returns whether the team's quota allows another task with this [request]. */
    fun allows(request: Resources): Boolean {
        val after = used + request
        return team.isWithinLimit(after.cpus, after.gpus)
    }

    fun addUsed(resources: Resources) {
        used += resources
    }

    /**
     * Counts the [resources] that one of the team's jobs requests in total, and returns whether the team's guarantee covers the
     * job. Jobs must be counted in order of acceptance: the guarantee covers the earliest ones.
     */
    fun addRequested(resources: Resources): Boolean {
        requested += resources
        return team.isWithinGuarantee(requested.cpus, requested.gpus)
    }
}
