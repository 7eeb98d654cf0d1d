package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.math.sqrt

/** Compares the paper's formulas with results calculated by hand. */
class FactorWeightsTest {
    private val factors = TaskFactors(JobId("job-1"), "render", "box", Resources(2.0, 0.0, 8.0), 3)

    @Test
    fun `distance is the weighted Euclidean distance of formula 1`() {
        val other = TaskFactors(JobId("job-2"), "render", "box", Resources(4.0, 0.0, 8.0), 3)
        assertArrayEquals(
            doubleArrayOf(0.0, 1.0, 0.0, 0.5, 0.0, 0.0),
            DoubleArray(TaskFactors.COUNT) { factors.distance(other, it) },
            1e-12,
        )
        // sqrt(0.2 * 1² + 0.1 * 0.5²)
        assertEquals(sqrt(0.225), FactorWeights(0.1).distance(factors, other), 1e-12)
    }

    @Test
    fun `real similarity follows formula 4`() {
        // min(|30 - 20|, |10 - 30|) / max(30, 15) = 10 / 30
        assertEquals(1 - 10.0 / 30.0, FactorWeights.realSimilarity(30.0, RunTimePrediction(listOf(10.0, 20.0))), 1e-12)
    }

    @Test
    fun `a gradient step moves the calculated similarity towards the real one`() {
        val weights = FactorWeights(0.1)
        val task = TaskProfile(MachineName("i-1"), factors, 10.0)
        val other = TaskProfile(MachineName("i-1"), factors, 40.0)
        // All factors agree, so the calculated similarity is the weights' sum, 1; the real one is 1 - 30/40 = 0.25.
        weights.fit(task, other)
        val expected = TaskFactors.INITIAL_WEIGHTS.map { maxOf(0.0, it - 0.1 * 2 * 0.75) }
        assertArrayEquals(expected.toDoubleArray(), weights.values, 1e-12)
    }
}
