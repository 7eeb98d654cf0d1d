package copperglade.prediction

/** The risk-aware assignment of section 6 of the paper, with the profit function of DESIGN. */
object RiskAssessment {
    private class AssessedOption<T>(val option: RestartOption<T>, val profitSeconds: Double)

    /**
     * Algorithm 2: chooses the option with the largest expected profit, and restarts the straggler only if the worst run time of
     * that option is less than [remainingSeconds], the expected remaining run time on the straggler's current machine.
     */
    fun <T> assess(options: List<RestartOption<T>>, remainingSeconds: Double): RestartVerdict<T> {
        val best = options
            .map { AssessedOption(it, expectedProfitSeconds(it.prediction, it.fetchSeconds, remainingSeconds)) }
            .maxByOrNull { it.profitSeconds }
        if (best == null || best.profitSeconds <= 0.0) return RestartVerdict.NoProfit(best?.profitSeconds)
        val worstSeconds = best.option.worstSeconds
        return if (worstSeconds < remainingSeconds) {
            RestartVerdict.Restart(best.option, best.profitSeconds)
        } else {
            RestartVerdict.TooRisky(best.profitSeconds, worstSeconds)
        }
    }

    /**
     * Returns the expected profit E = sum of P·U over the ranges before and after the straggler's expected finish, which is in
     * [remainingSeconds] from now. U = expected finish − (now + the range's average) is the time saved. Formulas (5), (6) and (8).
     */
    fun expectedProfitSeconds(prediction: RunTimePrediction, fetchSeconds: Double, remainingSeconds: Double): Double {
        val (before, after) = prediction.runSeconds.map { it + fetchSeconds }.partition { it <= remainingSeconds }
        return profitOfRange(before, prediction, remainingSeconds) + profitOfRange(after, prediction, remainingSeconds)
    }

    private fun profitOfRange(range: List<Double>, prediction: RunTimePrediction, remainingSeconds: Double): Double {
        if (range.isEmpty()) return 0.0
        val probability = range.size.toDouble() / prediction.runSeconds.size
        return probability * (remainingSeconds - range.average())
    }
}
