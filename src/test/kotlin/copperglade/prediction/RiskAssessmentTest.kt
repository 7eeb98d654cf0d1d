package copperglade.prediction

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Compares the paper's formulas with results calculated by hand. */
class RiskAssessmentTest {
    @Test
    fun `expected profit sums probability times time saved over both ranges`() {
        val prediction = RunTimePrediction(listOf(10.0, 20.0, 30.0, 60.0))
        // Before 40: 3/4 * (40 - 20); after: 1/4 * (40 - 60).
        assertEquals(0.75 * 20 + 0.25 * -20, RiskAssessment.expectedProfitSeconds(prediction, 0.0, 40.0), 1e-12)
        // A fetch of 25 s moves the run time of 20 s past the expected finish: 1/4 * (40 - 35) + 3/4 * (40 - (45 + 55 + 85) / 3).
        val late = 0.25 * 5 + 0.75 * (40 - 185.0 / 3)
        assertEquals(late, RiskAssessment.expectedProfitSeconds(prediction, 25.0, 40.0), 1e-9)
    }

    @Test
    fun `the option with the largest profit is chosen if its worst run time is less than the remaining time`() {
        val safe = RestartOption("safe", RunTimePrediction(listOf(20.0, 25.0)), 0.0)
        val better = RestartOption("better", RunTimePrediction(listOf(5.0, 10.0)), 0.0)
        val risky = RestartOption("risky", RunTimePrediction(listOf(1.0, 1.0, 1.0, 50.0)), 0.0)
        val unprofitable = RestartOption("unprofitable", RunTimePrediction(listOf(60.0, 70.0)), 0.0)
        assertEquals("better", (RiskAssessment.assess(listOf(safe, better), 40.0) as RestartVerdict.Restart).option.target)
        assertTrue(RiskAssessment.assess(listOf(risky), 40.0) is RestartVerdict.TooRisky)
        assertTrue(RiskAssessment.assess(listOf(unprofitable), 40.0) is RestartVerdict.NoProfit)
        assertTrue(RiskAssessment.assess(emptyList<RestartOption<String>>(), 40.0) is RestartVerdict.NoProfit)
        // The image fetch counts as run time: 10 + 31 is not less than 40.
        assertTrue(
            RiskAssessment.assess(
                listOf(RestartOption("far", RunTimePrediction(listOf(5.0, 10.0)), 31.0)),
                40.0,
            ) !is RestartVerdict.Restart,
        )
    }
}
