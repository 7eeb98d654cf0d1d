package copperglade.prediction

import copperglade.protocol.MachineName
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sign
import kotlin.math.sqrt

/**
 * The speeds of machines, measured by the tasks that finished on them. The paper assumes that machines keep their speed.
 *
 * @param profiles the finished tasks, as they come and go.
 */
internal class MachineSpeeds(private val profiles: Collection<TaskProfile>, private val averages: RunTimeAverages) {
    private var speeds: Map<MachineName, Double> = emptyMap()
    private var recordedSinceMeasured = 0

    /** Must be called for each task that is added to the profiles. */
    fun onRecorded() {
        recordedSinceMeasured++
    }

    /** How fast [machine] is, where 1 is the average. Measured again only after some tasks, since one changes it little. */
    fun of(machine: MachineName): Double {
        if (recordedSinceMeasured >= TASKS_PER_MEASUREMENT) {
            recordedSinceMeasured = 0
            speeds = measure()
        }
        return speeds[machine] ?: 1.0
    }

    /** The speeds that can't be explained by chance. */
    private fun measure(): Map<MachineName, Double> {
        val speeds = HashMap<MachineName, Double>()
        for ((machine, tasks) in profiles.groupBy { it.machine }) {
            logSpeed(tasks)?.let { speeds[machine] = exp(it) }
        }
        return speeds
    }

    /**
     * The logarithm of a machine's speed by its [tasks]: the median of how much faster than the average of their jobs they
     * were, reduced by its likely error. Null where it is within that error. Run times within a job differ by more than most
     * machines do, so an uncorrected median of a few tasks would make ordinary machines look slow, and lead to restarts that
     * lose time.
     */
    private fun logSpeed(tasks: List<TaskProfile>): Double? {
        val logs = tasks
            .mapNotNull { task ->
                averages.ofJob(task.factors.job)?.let { ln(it / task.runSeconds.coerceAtLeast(MIN_RUN_SECONDS)) }
            }.sorted()
        if (logs.size < MIN_TASKS_PER_MACHINE) return null
        val median = logs[logs.size / 2]
        val meanDeviation = logs.sumOf { abs(it - median) } / logs.size
        val likelyError = ERROR_FACTOR * meanDeviation / sqrt(logs.size.toDouble())
        return if (abs(median) > likelyError) median - likelyError * sign(median) else null
    }

    private companion object {
        const val TASKS_PER_MEASUREMENT = 10
        const val MIN_TASKS_PER_MACHINE = 8

        /** By how many times its standard error a median must differ from the average to count. */
        const val ERROR_FACTOR = 2.5
        const val MIN_RUN_SECONDS = 0.1
    }
}
