package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.Resources
import kotlin.math.abs
import kotlin.math.max

/**
 * The factors on which the run time of a task is assumed to depend (section 5.2 of the paper; the factors are those of DESIGN).
 *
 * @property workloadClass the workload class of the task's job.
 * @property tasksOnMachine the number of tasks on the task's machine, this task included.
 */
class TaskFactors(
    val job: JobId,
    val workloadClass: String,
    val type: String,
    val request: Resources,
    val tasksOnMachine: Int,
) {
    /**
     * Returns the distance from [other] along the factor of index [factor], from 0 to 1. Names are either equal (0) or different (1).
     * The distance of amounts is their relative difference, so that no unit outweighs another before the weights are fitted.
     */
    fun distance(other: TaskFactors, factor: Int): Double = when (factor) {
        WORKLOAD_CLASS -> if (workloadClass == other.workloadClass) 0.0 else 1.0
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
        private const val WORKLOAD_CLASS = 0
        private const val JOB = 1
        private const val TYPE = 2
        private const val PROCESSORS = 3
        private const val MEMORY = 4

        /** The number of factors; their indices start at 0. */
        const val COUNT = 6

        /** The weights by factor before any task has been profiled: the workload class and the job predict the run time best. */
        val INITIAL_WEIGHTS = doubleArrayOf(0.4, 0.2, 0.1, 0.1, 0.1, 0.1)
    }
}
