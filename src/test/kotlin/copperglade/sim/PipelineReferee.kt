package copperglade.sim

import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.TaskId

/** A submission in the users' wire form, with its dependencies; the field is left out where there are none. */
fun submissionBody(spec: JobSpec, dependencies: List<JobId>): ByteArray {
    val root = Json.read(Json.write { JobSpecCodec.write(this, spec) }) as ObjectNode
    if (dependencies.isNotEmpty()) root.putArray("awaits").also { names -> dependencies.forEach { names.add(it.text) } }
    return root.toString().toByteArray()
}

/**
 * The part of the referee for jobs with dependencies: it checks `too_early`, `orphaned`, and that nothing is cancelled but by a user, from
 * what ended on machines and what users were answered. A job that is not among [users] was done before the scenario began.
 */
class PipelineReferee(
    private val users: Map<JobId, SimUser>,
    private val now: () -> Double,
    private val cancelMillis: Double,
    private val breach: (String, String) -> Unit,
) {
    private val predecessors = HashMap<JobId, Set<SimUser>>()
    private val returnedAsOverdue = HashSet<JobId>()

    /** All jobs that [user]'s depends on, directly or through others. They were submitted before it, so the set is final. */
    private fun predecessorsOf(user: SimUser): Set<SimUser> = predecessors[user.spec.id] ?: run {
        val direct = user.dependencies.mapNotNull { users[it] }
        val all = direct + direct.flatMap { predecessorsOf(it) }
        all.toSet().also { predecessors[user.spec.id] = it }
    }

    /** When the last dependency of [user]'s job was done, or the time of submission if that is later; null while the job is blocked. */
    fun releasedAtMillis(user: SimUser): Double? =
        predecessorsOf(user).maxOfOrNull { it.completedAtMillis ?: return null }?.let { maxOf(it, user.requestedAtMillis) }
            ?: user.requestedAtMillis

    /**
     * When the cancellation of the job or of one that it depends on was confirmed; the acceptance of the job if that was later. Null if
     * none was.
     */
    fun cancelledAtMillis(user: SimUser): Double? = listOfNotNull(user.cancelledAtMillis, inheritedCancellationAtMillis(user)).minOrNull()

    private fun inheritedCancellationAtMillis(user: SimUser): Double? {
        val acceptedAtMillis = user.acceptedAtMillis ?: return null
        val confirmedAt = predecessorsOf(user).mapNotNull { it.cancelledAtMillis }.minOrNull() ?: return null
        return maxOf(acceptedAtMillis, confirmedAt)
    }

    /** Whether somebody has requested to cancel a dependency of [user]'s job that was not reported done. */
    fun dependencyCancelRequested(user: SimUser): Boolean =
        predecessorsOf(user).any { it.cancelRequestedAtMillis != null && it.status != "done" }

    /** A task of [user]'s job starts. */
    fun checkStart(user: SimUser, task: TaskId) {
        val pending = predecessorsOf(user).firstOrNull { it.completedAtMillis == null } ?: return
        breach("too_early", "$task before ${pending.spec.id} is done")
    }

    /** Checks the status that [user] has just been answered. */
    fun checkAnswer(user: SimUser) {
        when (user.status) {
            "aborted" -> checkReason(user)
            "done" -> {
                checkNotAfterCancelled(user)
                successorsOf(user).filter { it.status == "aborted" }.forEach(::checkReason)
            }
            else -> if (isOverdue(user)) breach("orphaned", "${user.spec.id} is called ${user.status}")
        }
        if (user.status == "aborted") successorsOf(user).forEach(::checkNotAfterCancelled)
    }

    private fun successorsOf(user: SimUser) = users.values.filter { user in predecessorsOf(it) }

    private fun checkReason(user: SimUser) {
        if (user.cancelRequestedAtMillis == null && !dependencyCancelRequested(user)) breach("went_back", "${user.spec.id} without request")
    }

    private fun checkNotAfterCancelled(user: SimUser) {
        val cancelled = predecessorsOf(user).firstOrNull { it.status == "aborted" } ?: return
        if (user.status == "done") breach("orphaned", "${user.spec.id} is called done after ${cancelled.spec.id} was cancelled")
    }

    private fun isOverdue(user: SimUser) = inheritedCancellationAtMillis(user)?.let { now() - it > cancelMillis } ?: false

    /** Jobs that must be reported cancelled from now on and have not been; each is returned once. */
    fun overdue(): List<SimUser> =
        users.values.filter { it.dependencies.isNotEmpty() && !it.finished && isOverdue(it) && returnedAsOverdue.add(it.spec.id) }

    /** All dependents of cancelled jobs must have been reported cancelled by now. */
    fun checkEnd() = users.values
        .filter { it.status != "aborted" && isOverdue(it) }
        .forEach { breach("orphaned", "${it.spec.id} was last called ${it.status}") }
}
