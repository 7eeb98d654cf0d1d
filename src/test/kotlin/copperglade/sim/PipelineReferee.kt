package copperglade.sim

import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.TaskId

/** A submission in the users' wire form, with the jobs that it waits for; the field is left out where there are none. */
fun submissionBody(spec: JobSpec, dependencies: List<JobId>): ByteArray {
    val root = Json.read(Json.write { JobSpecCodec.write(this, spec) }) as ObjectNode
    if (dependencies.isNotEmpty()) root.putArray("awaits").also { names -> dependencies.forEach { names.add(it.text) } }
    return root.toString().toByteArray()
}

/**
 * The part of the referee that looks at jobs waiting for others: `too_early`, `orphaned`, and that nothing is cancelled
 * but by a user. It goes by what ended on machines and what users were told; a job that is not among [users] was done
 * before the day began.
 */
class PipelineReferee(
    private val users: Map<JobId, SimSite.User>,
    private val now: () -> Double,
    private val cancelMs: Double,
    private val breach: (String, String) -> Unit,
) {
    private val predecessors = HashMap<JobId, Set<SimSite.User>>()
    private val askedWhenOverdue = HashSet<JobId>()

    /** All jobs that [user]'s job needs, directly or through others. They were submitted before it, so the set is final. */
    private fun predecessorsOf(user: SimSite.User): Set<SimSite.User> = predecessors[user.spec.id] ?: run {
        val direct = user.dependencies.mapNotNull { users[it] }
        val all = direct + direct.flatMap { predecessorsOf(it) }
        all.toSet().also { predecessors[user.spec.id] = it }
    }

    /** When the last job that [user]'s needs had its last task done, or the time of submission; null while it is blocked. */
    fun releasedAtMs(user: SimSite.User): Double? =
        predecessorsOf(user).maxOfOrNull { it.completedAtMs ?: return null }?.let { maxOf(it, user.requestedAtMs) } ?: user.requestedAtMs

    /**
     * When [user] was told that the job, or one that it needs, is cancelled. A job that was submitted after that counts
     * from its acceptance.
     */
    fun cancelledAtMs(user: SimSite.User): Double? = listOfNotNull(user.cancelledAtMs, inheritedCancellationAtMs(user)).minOrNull()

    private fun inheritedCancellationAtMs(user: SimSite.User): Double? {
        val acceptedAtMs = user.acceptedAtMs ?: return null
        val confirmedAt = predecessorsOf(user).mapNotNull { it.cancelledAtMs }.minOrNull() ?: return null
        return maxOf(acceptedAtMs, confirmedAt)
    }

    /** Somebody has asked to cancel a job that [user]'s needs, and was not told that it is done. */
    fun dependencyCancelRequested(user: SimSite.User): Boolean =
        predecessorsOf(user).any { it.cancelRequestedAtMs != null && it.status != "done" }

    /** A task of [user]'s job starts. */
    fun checkStart(user: SimSite.User, task: TaskId) {
        val pending = predecessorsOf(user).firstOrNull { it.completedAtMs == null } ?: return
        breach("too_early", "$task before ${pending.spec.id} is done")
    }

    /** [user] has just been told something. */
    fun checkAnswer(user: SimSite.User) {
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

    private fun successorsOf(user: SimSite.User) = users.values.filter { user in predecessorsOf(it) }

    private fun checkReason(user: SimSite.User) {
        if (user.cancelRequestedAtMs == null && !dependencyCancelRequested(user)) breach("went_back", "${user.spec.id} cancelled by nobody")
    }

    private fun checkNotAfterCancelled(user: SimSite.User) {
        val cancelled = predecessorsOf(user).firstOrNull { it.status == "aborted" } ?: return
        if (user.status == "done") breach("orphaned", "${user.spec.id} is called done after ${cancelled.spec.id} was cancelled")
    }

    private fun isOverdue(user: SimSite.User) = inheritedCancellationAtMs(user)?.let { now() - it > cancelMs } ?: false

    /** Jobs that have to be called cancelled from now on and are not known to be, each named once. */
    fun overdue(): List<SimSite.User> =
        users.values.filter { it.dependencies.isNotEmpty() && !it.finished && isOverdue(it) && askedWhenOverdue.add(it.spec.id) }

    /** Whatever is after a cancelled job must have been called cancelled by now. */
    fun checkEnd() = users.values
        .filter { it.status != "aborted" && isOverdue(it) }
        .forEach { breach("orphaned", "${it.spec.id} was last called ${it.status}") }
}
