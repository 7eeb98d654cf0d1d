package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.sqrt

/** The paper's formulas, worked through by hand. */
class RiskAssessmentTest {
    private val factors = TaskFactors(JobId("job-1"), "render", "box", Resources(2.0, 0.0, 8.0), 3)

    @Test
    fun `distance is the weighted Euclidean one of formula 1`() {
        val other = TaskFactors(JobId("job-2"), "render", "box", Resources(4.0, 0.0, 8.0), 3)
        assertArrayEquals(doubleArrayOf(0.0, 1.0, 0.0, 0.5, 0.0, 0.0), DoubleArray(TaskFactors.COUNT) { factors.apart(other, it) }, 1e-12)
        // sqrt(0.2 * 1² + 0.1 * 0.5²)
        assertEquals(sqrt(0.225), Weights(0.1).distance(factors, other), 1e-12)
    }

    @Test
    fun `real likeness is formula 4`() {
        // min(|30 - 20|, |10 - 30|) / max(30, 15) = 10 / 30
        assertEquals(1 - 10.0 / 30.0, Weights.realLikeness(30.0, Prediction(listOf(10.0, 20.0))), 1e-12)
    }

    @Test
    fun `a gradient step moves the calculated likeness towards the real one`() {
        val weights = Weights(0.1)
        val task = TaskProfile(MachineName("i-1"), factors, 10.0)
        val other = TaskProfile(MachineName("i-1"), factors, 40.0)
        // All factors agree, so the calculated likeness is the weights' sum, 1; the real one is 1 - 30/40 = 0.25.
        weights.step(task, other)
        val expected = TaskFactors.FIRST_WEIGHTS.map { maxOf(0.0, it - 0.1 * 2 * 0.75) }
        assertArrayEquals(expected.toDoubleArray(), weights.values, 1e-12)
    }

    @Test
    fun `expected profit sums probability times time saved over both ranges`() {
        val prediction = Prediction(listOf(10.0, 20.0, 30.0, 60.0))
        // Before 40: 3/4 * (40 - 20); after: 1/4 * (40 - 60).
        assertEquals(0.75 * 20 + 0.25 * -20, RiskAssessment.expectedProfit(prediction, 0.0, 40.0), 1e-12)
        // A fetch of 25 s moves 20 behind the finish: 1/4 * (40 - 35) + 3/4 * (40 - (45 + 55 + 85) / 3).
        val late = 0.25 * 5 + 0.75 * (40 - 185.0 / 3)
        assertEquals(late, RiskAssessment.expectedProfit(prediction, 25.0, 40.0), 1e-9)
    }

    @Test
    fun `the largest profit wins, and the guard asks that the worst time beats the time left`() {
        val safe = RestartOption("safe", Prediction(listOf(20.0, 25.0)), 0.0)
        val better = RestartOption("better", Prediction(listOf(5.0, 10.0)), 0.0)
        val risky = RestartOption("risky", Prediction(listOf(1.0, 1.0, 1.0, 50.0)), 0.0)
        val hopeless = RestartOption("hopeless", Prediction(listOf(60.0, 70.0)), 0.0)
        assertEquals("better", (RiskAssessment.weigh(listOf(safe, better), 40.0) as RestartVerdict.Restart).option.place)
        assertTrue(RiskAssessment.weigh(listOf(risky), 40.0) is RestartVerdict.TooRisky)
        assertTrue(RiskAssessment.weigh(listOf(hopeless), 40.0) is RestartVerdict.NoProfit)
        assertTrue(RiskAssessment.weigh(emptyList<RestartOption<String>>(), 40.0) is RestartVerdict.NoProfit)
        // The image fetch counts against the guard: 10 + 31 is no longer below 40.
        assertTrue(
            RiskAssessment.weigh(listOf(RestartOption("far", Prediction(listOf(5.0, 10.0)), 31.0)), 40.0) !is RestartVerdict.Restart,
        )
    }

    private fun profileStore(times: Map<String, List<Double>>): ProfileStore {
        val profileStore = ProfileStore(nearest = 8, steps = 2, rate = 0.02, capacity = 100)
        for ((machine, runs) in times) runs.forEach { profileStore.record(TaskProfile(MachineName(machine), factors, it)) }
        return profileStore
    }

    @Test
    fun `nothing is predicted without history, and a prediction is a range`() {
        assertNull(profileStore(emptyMap()).predict(MachineName("i-1"), factors))
        val prediction = profileStore(mapOf("i-1" to listOf(10.0, 12.0, 14.0))).predict(MachineName("i-1"), factors)
        assertNotNull(prediction)
        assertEquals(10.0, prediction!!.best)
        assertEquals(14.0, prediction.worst)
    }

    @Test
    fun `a task that is merely long is not like the short ones`() {
        val profileStore = profileStore(mapOf("i-1" to listOf(5.0, 6.0, 7.0, 8.0, 30.0, 31.0, 32.0)))
        val prediction = profileStore.predict(MachineName("i-2"), factors, doneS = 20.0)
        assertEquals(listOf(30.0, 31.0, 32.0), prediction?.timesS)
    }

    @Test
    fun `a slow machine is known by its tasks`() {
        val profileStore = profileStore(mapOf("fast" to List(20) { 10.0 }, "slow" to List(8) { 40.0 }))
        assertTrue(profileStore.speedOf(MachineName("slow")) < 0.5)
        assertTrue(profileStore.speedOf(MachineName("fast")) > 1.0)
    }
}
