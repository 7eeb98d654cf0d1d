package copperglade.prediction

/** The decision whether a straggler should be restarted, with the figures behind it. A profit is the expected time saved. */
sealed interface RestartVerdict<T> {
    class Restart<T>(val option: RestartOption<T>, val profitSeconds: Double) : RestartVerdict<T>

    /** No option has an expected profit above 0; [bestProfitSeconds] is null where there were no options. */
    class NoProfit<T>(val bestProfitSeconds: Double?) : RestartVerdict<T>

    /** The worst run time of the best option is no less than the remaining run time on the straggler's current machine. */
    class TooRisky<T>(val profitSeconds: Double, val worstSeconds: Double) : RestartVerdict<T>
}
