package copperglade.storage

import kotlin.math.abs

/**
 * When a job has to be done: by its own deadline, or by that of a job that depends on it.
 *
 * @property load the load class of the job that the deadline was set for; its objectives say which multiples of the deadline count.
 * @param submittedAtMillis when that job was submitted, in wall-clock milliseconds.
 * @param deadlineSeconds the deadline, in seconds from then.
 * @param downstreamRunSeconds the predicted run time, in seconds, of the jobs between this one and that deadline.
 */
class Deadline(
    val load: String,
    private val submittedAtMillis: Long,
    private val deadlineSeconds: Double,
    private val downstreamRunSeconds: Double = 0.0,
) {
    /** Seconds from [fromMillis] until the job has to be done, with the deadline multiplied by [multiple]. */
    fun dueInSeconds(multiple: Double, fromMillis: Long): Double =
        (submittedAtMillis - fromMillis) / MILLIS_PER_SECOND + multiple * deadlineSeconds - downstreamRunSeconds

    /** The same deadline for a job that has to be done [runSeconds] seconds earlier. */
    internal fun earlierBy(runSeconds: Double) = Deadline(load, submittedAtMillis, deadlineSeconds, downstreamRunSeconds + runSeconds)

    /** Whether the difference to [other] is too small to schedule jobs differently. */
    internal fun isCloseTo(other: Deadline): Boolean =
        load == other.load && abs(dueInSeconds(1.0, submittedAtMillis) - other.dueInSeconds(1.0, submittedAtMillis)) < NEGLIGIBLE_SECONDS

    /** Whether this deadline falls before [other]. */
    internal fun isTighterThan(other: Deadline): Boolean = dueInSeconds(1.0, 0) < other.dueInSeconds(1.0, 0)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val NEGLIGIBLE_SECONDS = 0.1
    }
}
