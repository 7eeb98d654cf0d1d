package copperglade.storage

import kotlin.math.abs

/**
 * When a job has to be done: by its own deadline, or by that of a job that depends on it.
 *
 * @property load the load class of the job that the deadline was set for; its objectives say which multiples of the deadline count.
 * @param submittedAtMs when that job was submitted, in wall-clock milliseconds.
 * @param deadlineSeconds the deadline, in seconds from then.
 * @param downstreamRunS the predicted run time, in seconds, of the jobs between this one and that deadline.
 */
class Deadline(
    val load: String,
    private val submittedAtMs: Long,
    private val deadlineSeconds: Double,
    private val downstreamRunS: Double = 0.0,
) {
    /** Seconds from [fromMs] until the job has to be done, with the deadline multiplied by [multiple]. */
    fun dueInS(multiple: Double, fromMs: Long): Double = (submittedAtMs - fromMs) / MS_PER_S + multiple * deadlineSeconds - downstreamRunS

    /** The same deadline for a job that has to be done [runS] seconds earlier. */
    fun earlierBy(runS: Double) = Deadline(load, submittedAtMs, deadlineSeconds, downstreamRunS + runS)

    /** Whether the difference to [other] is too small to schedule jobs differently. */
    fun isCloseTo(other: Deadline): Boolean =
        load == other.load && abs(dueInS(1.0, submittedAtMs) - other.dueInS(1.0, submittedAtMs)) < NEGLIGIBLE_S

    /** Whether this deadline falls before [other]. */
    fun isTighterThan(other: Deadline): Boolean = dueInS(1.0, 0) < other.dueInS(1.0, 0)

    private companion object {
        const val MS_PER_S = 1000.0
        const val NEGLIGIBLE_S = 0.1
    }
}
