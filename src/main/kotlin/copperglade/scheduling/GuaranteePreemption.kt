package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.Resources
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Assignment
import copperglade.storage.Job

/** Tasks within a team's guarantee that wait for room. */
class GuaranteeClaim(val team: TeamName, val request: Resources, val tasks: Int)

/** What a job outside its team's guarantee has been assigned. */
class BorrowedQuota(val job: Job, val spec: JobSpec, val assigned: List<Assignment>)

/**
 * What to stop so that teams get their guarantees: work that other teams run beyond their own. Saved progress first, then
 * what was assigned last, which has least to lose; never more than the claims need, nor than a team has borrowed.
 */
class GuaranteePreemption(private val teams: Map<TeamName, Team>) {
    /** The tasks to recall, by job. */
    fun choose(
        claims: List<GuaranteeClaim>,
        borrowedQuotas: List<BorrowedQuota>,
        usedCpus: Map<TeamName, Double>,
    ): Map<Job, List<Assignment>> {
        var needed = neededCpus(claims, usedCpus)
        // What has been recalled before and is still there is on its way out.
        needed -= borrowedQuotas.sumOf { job -> job.assigned.count { it.preemptedForGuarantee } * job.spec.request.cpus }
        val spare = teams.mapValuesTo(HashMap()) { (name, team) -> (usedCpus[name] ?: 0.0) - team.cpus }
        val chosen = LinkedHashMap<Job, MutableList<Assignment>>()
        for (borrowed in borrowedQuotas.sortedWith(
            compareBy<BorrowedQuota> {
                if (it.spec.checkpointIntervalSeconds >
                    0.0
                ) {
                    0
                } else {
                    1
                }
            }.thenByDescending {
                it.job.live
                    ?.value
                    ?.acceptedAtMs ?: 0L
            },
        )) {
            val cpus = borrowed.spec.request.cpus
            for (assignment in borrowed.assigned.filter { !it.preemptedForGuarantee }.sortedByDescending { it.generation }) {
                val left = spare[borrowed.spec.team] ?: 0.0
                if (needed <= 0.0 || left < cpus) break
                if (claims.any { it.team == borrowed.spec.team }) break
                needed -= cpus
                spare[borrowed.spec.team] = left - cpus
                chosen.getOrPut(borrowed.job) { ArrayList() } += assignment
            }
        }
        return chosen
    }

    private fun neededCpus(claims: List<GuaranteeClaim>, usedCpus: Map<TeamName, Double>): Double =
        claims.groupBy { it.team }.entries.sumOf { (name, its) ->
            val within = (teams[name]?.cpus ?: 0.0) - (usedCpus[name] ?: 0.0)
            its.sumOf { it.request.cpus * it.tasks }.coerceAtMost(within.coerceAtLeast(0.0))
        }
}
