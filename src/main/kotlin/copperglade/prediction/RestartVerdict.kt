package copperglade.prediction

/** Whether a straggler should be restarted, with the figures that led to it. */
sealed interface RestartVerdict<T> {
    class Restart<T>(val option: RestartOption<T>, val profitSeconds: Double) : RestartVerdict<T>

    /** No option has an expected profit above 0; [bestProfitSeconds] is null where there were no options. */
    class NoProfit<T>(val bestProfitSeconds: Double?) : RestartVerdict<T>

    /** The worst run time of the best option is no less than the time that the straggler still needs where it is. */
    class TooRisky<T>(val profitSeconds: Double, val worstSeconds: Double) : RestartVerdict<T>
}
