package copperglade.prediction

import copperglade.protocol.MachineName
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sign
import kotlin.math.sqrt

/**
 * The speeds of machines, measured by the tasks that finished on them. The paper assumes that a machine's speed does not change.
 *
 * @param profiles a live view of the profiles of finished tasks; the owner of the collection adds and removes profiles.
 */
internal class MachineSpeeds(private val profiles: Collection<TaskProfile>, private val averages: RunTimeAverages) {
    private var speeds: Map<MachineName, Double> = emptyMap()
    private var recordedSinceMeasured = 0

    /** Must be called after each addition to the profiles. */
    fun onRecorded() {
        recordedSinceMeasured++
    }

    /**
     * Returns the relative speed of [machine], where 1 is the average. The speeds are measured again only after
     * [TASKS_PER_MEASUREMENT] tasks, since one task changes them little.
     */
    fun of(machine: MachineName): Double {
        if (recordedSinceMeasured >= TASKS_PER_MEASUREMENT) {
            recordedSinceMeasured = 0
            speeds = measure()
        }
        return speeds[machine] ?: 1.0
    }

    /** Returns the speeds of the machines whose difference from the average is larger than their likely error. */
    private fun measure(): Map<MachineName, Double> {
        val speeds = HashMap<MachineName, Double>()
        for ((machine, tasks) in profiles.groupBy { it.machine }) {
            logSpeed(tasks)?.let { speeds[machine] = exp(it) }
        }
        return speeds
    }

    /**
     * Returns the logarithm of a machine's speed by its [tasks]: the median of each task's speed relative to the average of its
     * job, reduced by the likely error of the median. Null where there are too few tasks, or the median is within its likely error.
     *
     * Run times within a job differ by more than most machines do, so an uncorrected median of a few tasks would make ordinary
     * machines appear slow, and lead to restarts that lose time.
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

        /** The number of standard errors by which a median must differ from the average to count. */
        const val ERROR_FACTOR = 2.5
        const val MIN_RUN_SECONDS = 0.1
    }
}
