package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.Resources
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.Assignment
import copperglade.storage.Job

/** Unassigned tasks that a team's guarantee covers. */
internal class GuaranteeClaim(val team: TeamName, val request: Resources, val tasks: Int)

/** A job that the guarantee of the job's team does not cover, and the job's assigned tasks. */
internal class BorrowedQuota(val job: Job, val spec: JobSpec, val assigned: List<Assignment>)

/**
 * Chooses tasks to preempt so that teams get their guaranteed capacity, among the tasks that other teams run beyond their own
 * guarantees.
 *
 * Tasks that write checkpoints are preempted first, then the tasks assigned last, which lose the least work. No more tasks are
 * preempted than the claims need, and no more of a team's tasks than the team has borrowed. A team that has a claim itself
 * loses no tasks.
 */
internal class GuaranteePreemption(private val teams: Map<TeamName, Team>) {
    /**
     * Returns the assignments to preempt, by job, in the order in which the jobs are preempted. [usedCpus] are the CPUs that each
     * team's assigned tasks request.
     */
    fun choose(
        claims: List<GuaranteeClaim>,
        borrowedQuotas: List<BorrowedQuota>,
        usedCpus: Map<TeamName, Double>,
    ): Map<Job, List<Assignment>> {
        // Tasks preempted earlier that are still assigned are about to free their resources.
        var missingCpus = claimedCpus(claims, usedCpus) - beingPreemptedCpus(borrowedQuotas)
        val borrowedCpus = teams.mapValuesTo(HashMap()) { (name, team) -> (usedCpus[name] ?: 0.0) - team.guaranteedCpus }
        val claiming = claims.mapTo(HashSet()) { it.team }
        val chosen = LinkedHashMap<Job, MutableList<Assignment>>()
        for (borrowed in borrowedQuotas.sortedWith(CHECKPOINTED_THEN_LATEST)) {
            val team = borrowed.spec.team
            if (team in claiming) continue
            val cpus = borrowed.spec.request.cpus
            for (assignment in borrowed.assigned.filter { !it.preemptedForGuarantee }.sortedByDescending { it.generation }) {
                val remainingCpus = borrowedCpus[team] ?: 0.0
                if (missingCpus <= 0.0 || remainingCpus < cpus) break
                missingCpus -= cpus
                borrowedCpus[team] = remainingCpus - cpus
                chosen.getOrPut(borrowed.job) { ArrayList() } += assignment
            }
        }
        return chosen
    }

    private fun claimedCpus(claims: List<GuaranteeClaim>, usedCpus: Map<TeamName, Double>): Double =
        claims.groupBy { it.team }.entries.sumOf { (team, teamClaims) ->
            val unusedGuarantee = (teams[team]?.guaranteedCpus ?: 0.0) - (usedCpus[team] ?: 0.0)
            teamClaims.sumOf { it.request.cpus * it.tasks }.coerceAtMost(unusedGuarantee.coerceAtLeast(0.0))
        }

    private fun beingPreemptedCpus(borrowedQuotas: List<BorrowedQuota>): Double =
        borrowedQuotas.sumOf { borrowed -> borrowed.assigned.count { it.preemptedForGuarantee } * borrowed.spec.request.cpus }

    private companion object {
        val CHECKPOINTED_THEN_LATEST = compareBy<BorrowedQuota> { if (it.spec.checkpointIntervalSeconds > 0.0) 0 else 1 }
            .thenByDescending {
                it.job.live
                    ?.value
                    ?.acceptedAtMillis ?: 0L
            }
    }
}
