package copperglade.storage

import kotlin.math.abs

/**
 * The time by which a job must be done, set by the job's own deadline or by the deadline of a job that depends on it.
 *
 * @property load the load class of the job that the deadline was set for. The class's objectives define which multiples of the deadline
 *   are measured.
 * @param submittedAtMillis when the same job was submitted, in wall-clock milliseconds.
 * @param deadlineSeconds the deadline, in seconds after the submission.
 * @param downstreamRunSeconds the predicted run time, in seconds, of the jobs between this one and that deadline.
 */
class Deadline(
    val load: String,
    private val submittedAtMillis: Long,
    private val deadlineSeconds: Double,
    private val downstreamRunSeconds: Double = 0.0,
) {
    /** Returns the seconds from [fromMillis] until the job must be done, with the deadline multiplied by [multiple]. */
    fun dueInSeconds(multiple: Double, fromMillis: Long): Double =
        (submittedAtMillis - fromMillis) / MILLIS_PER_SECOND + multiple * deadlineSeconds - downstreamRunSeconds

    /** Returns this deadline moved [runSeconds] seconds earlier, for a job that must be done before a dependent runs. */
    internal fun earlierBy(runSeconds: Double) = Deadline(load, submittedAtMillis, deadlineSeconds, downstreamRunSeconds + runSeconds)

    /** Whether the difference between this deadline and [other] is too small to affect scheduling. */
    internal fun isCloseTo(other: Deadline): Boolean =
        load == other.load && abs(dueInSeconds(1.0, submittedAtMillis) - other.dueInSeconds(1.0, submittedAtMillis)) < NEGLIGIBLE_SECONDS

    /** Whether this deadline is earlier than [other]. */
    internal fun isTighterThan(other: Deadline): Boolean = dueInSeconds(1.0, 0) < other.dueInSeconds(1.0, 0)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val NEGLIGIBLE_SECONDS = 0.1
    }
}
