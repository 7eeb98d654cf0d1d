package copperglade.prediction

import kotlin.math.abs
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/** The weight of each factor on one machine, fitted to the real similarity of the run times of its tasks (section 5.3 of the paper). */
class FactorWeights(private val fittingRate: Double) {
    /** The weights by factor. */
    val values: DoubleArray = TaskFactors.INITIAL_WEIGHTS.copyOf()

    /** Returns the weighted Euclidean distance of [a] and [b]: formula (1). */
    fun distance(a: TaskFactors, b: TaskFactors): Double {
        var sum = 0.0
        for (factor in 0 until TaskFactors.COUNT) {
            val distance = a.distance(b, factor)
            sum += values[factor] * distance * distance
        }
        return sqrt(sum)
    }

    /**
     * Takes one gradient step on objective (2) for the pair of [task] and [other]. With L and M eliminated through
     * constraint (3), the pair's part of the objective is (sum of S·W − R)², where S is the similarity of the two along a factor
     * and R their real similarity.
     */
    fun fit(task: TaskProfile, other: TaskProfile) {
        val distances = DoubleArray(TaskFactors.COUNT) { task.factors.distance(other.factors, it) }
        var calculatedSimilarity = 0.0
        for (factor in distances.indices) calculatedSimilarity += (1.0 - distances[factor]) * values[factor]
        val error = calculatedSimilarity - realSimilarity(task.runSeconds, RunTimePrediction(listOf(other.runSeconds)))
        for (factor in distances.indices) {
            values[factor] = max(0.0, values[factor] - fittingRate * 2.0 * error * (1.0 - distances[factor]))
        }
    }

    companion object {
        /** Returns the similarity of a real run time to a predicted range: formula (4). */
        fun realSimilarity(runSeconds: Double, predicted: RunTimePrediction): Double {
            val gap = min(abs(runSeconds - predicted.worstSeconds), abs(predicted.bestSeconds - runSeconds))
            return 1.0 - gap / max(max(runSeconds, predicted.averageSeconds), MIN_RUN_SECONDS)
        }

        private const val MIN_RUN_SECONDS = 1e-9
    }
}
