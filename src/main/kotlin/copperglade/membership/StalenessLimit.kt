package copperglade.membership

import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long a process may act on the records that it read last. */
object StalenessLimit {
    private val MIN_LIMIT = 1.seconds

    /**
     * The limit for the given settings. An owner cut off from the state service may keep a worker's lease alive for this long, and the
     * worker goes on for [leaseSeconds] after that: both together must stay below [cancelSeconds], in which a cancelled job must be gone.
     * The margin covers the drift of the clocks, a thousandth of both together; where there is little time between lease and
     * cancellation, it is a third of that.
     *
     * @throws InvalidSettingException if less than a second would be left to act in.
     */
    fun of(leaseSeconds: Double, cancelSeconds: Double, operatorSettings: OperatorSettings): Duration {
        val available = (cancelSeconds - leaseSeconds).seconds
        val configured = operatorSettings.stalenessMargin
        val margin = if (configured > OperatorSettings.DEFAULT_STALENESS_MARGIN) configured else minOf(configured, available / 3)
        if (available - margin < MIN_LIMIT) {
            throw InvalidSettingException(
                "deployment.workers.cancel_s: lease_s and hold.margin.s ($margin) leave no second of it to act in",
            )
        }
        return minOf(operatorSettings.stalenessLimit, available - margin)
    }
}
