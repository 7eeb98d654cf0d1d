package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.Resources
import kotlin.math.abs
import kotlin.math.max

/**
 * What the run time of a task is assumed to depend on (section 5.2 of the paper; the factors are those of DESIGN).
 *
 * @property load the recurring name of the task's job.
 * @property tasksOnMachine how many tasks its machine runs, this one included.
 */
class TaskFactors(
    val job: JobId,
    val load: String,
    val type: String,
    val request: Resources,
    val tasksOnMachine: Int,
) {
    /**
     * The distance from [other] along the factor of index [factor], from 0 to 1. Names are equal or not; amounts differ by their
     * relative difference, so that no unit outweighs another before the weights have been fitted.
     */
    fun distance(other: TaskFactors, factor: Int): Double = when (factor) {
        LOAD -> if (load == other.load) 0.0 else 1.0
        JOB -> if (job == other.job) 0.0 else 1.0
        TYPE -> if (type == other.type) 0.0 else 1.0
        PROCESSORS -> relativeDifference(request.cpus + request.gpus, other.request.cpus + other.request.gpus)
        MEMORY -> relativeDifference(request.memoryGb, other.request.memoryGb)
        else -> relativeDifference(tasksOnMachine.toDouble(), other.tasksOnMachine.toDouble())
    }

    private fun relativeDifference(a: Double, b: Double): Double {
        val larger = max(a, b)
        return if (larger <= 0.0) 0.0 else abs(a - b) / larger
    }

    companion object {
        private const val LOAD = 0
        private const val JOB = 1
        private const val TYPE = 2
        private const val PROCESSORS = 3
        private const val MEMORY = 4

        /** How many factors there are; their indices run from 0. */
        const val COUNT = 6

        /** The weights by factor before any task has been profiled: the load and the job tell the most. */
        val INITIAL_WEIGHTS = doubleArrayOf(0.4, 0.2, 0.1, 0.1, 0.1, 0.1)
    }
}
