package copperglade.sim

import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.TaskId

/** Encodes a submission in the users' wire format. The field of the dependencies is omitted if [dependencies] is empty. */
fun submissionBody(spec: JobSpec, dependencies: List<JobId>): ByteArray {
    val root = Json.read(Json.write { JobSpecCodec.write(this, spec) }) as ObjectNode
    if (dependencies.isNotEmpty()) root.putArray("awaits").also { names -> dependencies.forEach { names.add(it.text) } }
    return root.toString().toByteArray()
}

/**
 * Checks the rules for jobs with dependencies: that no task starts before the dependencies of its job are done (`too_early`), that the
 * dependents of a cancelled job are cancelled too (`orphaned`), and that no job is cancelled without a user's request (`went_back`).
 * The checks compare the ends of tasks on machines with the answers to users. A job that is missing in [users] was done before the
 * scenario began.
 *
 * @param now returns the simulated time in milliseconds.
 * @param cancelMillis the time limit for a cancellation to take effect.
 * @param breach records a broken rule: its name, and the observation.
 */
class PipelineReferee(
    private val users: Map<JobId, SimUser>,
    private val now: () -> Double,
    private val cancelMillis: Double,
    private val breach: (String, String) -> Unit,
) {
    private val allDependencies = HashMap<JobId, Set<SimUser>>()
    private val returnedAsOverdue = HashSet<JobId>()

    /** Returns the users of all direct and indirect dependencies of [user]'s job. All were submitted before it, so the set is final. */
    private fun allDependenciesOf(user: SimUser): Set<SimUser> = allDependencies[user.spec.id] ?: run {
        val direct = user.dependencies.mapNotNull { users[it] }
        val all = direct + direct.flatMap { allDependenciesOf(it) }
        all.toSet().also { allDependencies[user.spec.id] = it }
    }

    /** Returns when the last dependency of [user]'s job was done, or the job was submitted if that is later; null while it is blocked. */
    fun releasedAtMillis(user: SimUser): Double? =
        allDependenciesOf(user).maxOfOrNull { it.completedAtMillis ?: return null }?.let { maxOf(it, user.requestedAtMillis) }
            ?: user.requestedAtMillis

    /**
     * Returns when the cancellation of [user]'s job or of one of its dependencies was confirmed; null if none was. The time is that of
     * the job's acceptance if a dependency was cancelled before.
     */
    fun cancelledAtMillis(user: SimUser): Double? = listOfNotNull(user.cancelledAtMillis, inheritedCancellationAtMillis(user)).minOrNull()

    private fun inheritedCancellationAtMillis(user: SimUser): Double? {
        val acceptedAtMillis = user.acceptedAtMillis ?: return null
        val confirmedAtMillis = allDependenciesOf(user).mapNotNull { it.cancelledAtMillis }.minOrNull() ?: return null
        return maxOf(acceptedAtMillis, confirmedAtMillis)
    }

    /** Whether a user has requested to cancel a dependency of [user]'s job that was not reported done. */
    fun dependencyCancelRequested(user: SimUser): Boolean =
        allDependenciesOf(user).any { it.cancelRequestedAtMillis != null && it.status != "done" }

    /** Checks at the start of [task], which belongs to [user]'s job, that all dependencies are done. */
    fun checkStart(user: SimUser, task: TaskId) {
        val pending = allDependenciesOf(user).firstOrNull { it.completedAtMillis == null } ?: return
        breach("too_early", "$task before ${pending.spec.id} is done")
    }

    /** Checks the status in the latest answer to [user]. */
    fun checkAnswer(user: SimUser) {
        when (user.status) {
            "aborted" -> checkCancelRequested(user)
            "done" -> {
                checkNotAfterCancelled(user)
                allDependentsOf(user).filter { it.status == "aborted" }.forEach(::checkCancelRequested)
            }
            else -> if (isOverdue(user)) breach("orphaned", "${user.spec.id} is reported as ${user.status}")
        }
        if (user.status == "aborted") allDependentsOf(user).forEach(::checkNotAfterCancelled)
    }

    private fun allDependentsOf(user: SimUser) = users.values.filter { user in allDependenciesOf(it) }

    private fun checkCancelRequested(user: SimUser) {
        if (user.cancelRequestedAtMillis == null && !dependencyCancelRequested(user)) breach("went_back", "${user.spec.id} without request")
    }

    private fun checkNotAfterCancelled(user: SimUser) {
        val cancelled = allDependenciesOf(user).firstOrNull { it.status == "aborted" } ?: return
        if (user.status == "done") breach("orphaned", "${user.spec.id} is reported done after ${cancelled.spec.id} was cancelled")
    }

    private fun isOverdue(user: SimUser) = inheritedCancellationAtMillis(user)?.let { now() - it > cancelMillis } ?: false

    /** Returns the users whose jobs must be reported cancelled from now on and have not been; each is returned once. */
    fun overdueCancellations(): List<SimUser> =
        users.values.filter {
            it.dependencies.isNotEmpty() && !it.finished && isOverdue(it) && returnedAsOverdue.add(it.spec.id)
        }

    /** Checks that all dependents of cancelled jobs have been reported cancelled. */
    fun checkCancelledDependents() = users.values
        .filter { it.status != "aborted" && isOverdue(it) }
        .forEach { breach("orphaned", "${it.spec.id} was last reported as ${it.status}") }
}
