package copperglade.prediction

/** A machine on which a straggler could run again, with what is expected of it there. */
class RestartOption<T>(val place: T, val prediction: Prediction, val fetchS: Double)

/** The outcome of weighing a straggler, with the figures that led to it. */
sealed interface RestartVerdict<T> {
    class Restart<T>(val option: RestartOption<T>, val profit: Double) : RestartVerdict<T>

    /** No option's expected profit is above 0. */
    class NoProfit<T>(val best: Double?) : RestartVerdict<T>

    /** The best option's worst time does not beat the time that the straggler still needs. */
    class TooRisky<T>(val profit: Double, val worstS: Double) : RestartVerdict<T>
}

/** The risk-aware assignment of section 6, with the profit function of DESIGN. */
object RiskAssessment {
    /**
     * E = sum of P·U over the ranges before and after the straggler's expected finish, in [remainingS] from now.
     * U = that finish − (now + the range's average), so that it counts time saved. Formulas (5), (6) and (8).
     */
    fun expectedProfit(prediction: Prediction, fetchS: Double, remainingS: Double): Double {
        val (before, after) = prediction.timesS.map { it + fetchS }.partition { it <= remainingS }
        return share(before, prediction, remainingS) + share(after, prediction, remainingS)
    }

    private fun share(range: List<Double>, whole: Prediction, remainingS: Double): Double =
        if (range.isEmpty()) 0.0 else range.size.toDouble() / whole.timesS.size * (remainingS - range.average())

    /** Algorithm 2: the option of the largest profit, and the guard that stands before killing the straggler. */
    fun <T> weigh(options: List<RestartOption<T>>, remainingS: Double): RestartVerdict<T> {
        val best = options
            .map { it to expectedProfit(it.prediction, it.fetchS, remainingS) }
            .maxByOrNull { it.second }
        if (best == null || best.second <= 0.0) return RestartVerdict.NoProfit(best?.second)
        val (option, profit) = best
        val worst = option.prediction.worst + option.fetchS
        return if (worst < remainingS) RestartVerdict.Restart(option, profit) else RestartVerdict.TooRisky(profit, worst)
    }
}
