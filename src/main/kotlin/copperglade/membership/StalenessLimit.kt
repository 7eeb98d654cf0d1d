package copperglade.membership

import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Computes how long a process may act on the records that it has read last. */
object StalenessLimit {
    private val MIN_LIMIT = 1.seconds

    /**
     * Returns the limit for the given settings. A shard owner that is disconnected from the state service may extend a worker's lease for
     * this long, and the worker continues for [leaseSeconds] after that. The sum of both must stay below [cancelSeconds], within which all
     * tasks of a cancelled job must have stopped. The margin covers the drift of the clocks, a thousandth of that sum; where the lease
     * leaves little time until [cancelSeconds], the margin is a third of that time.
     *
     * @throws InvalidSettingException if the limit would be less than a second.
     */
    fun of(leaseSeconds: Double, cancelSeconds: Double, operatorSettings: OperatorSettings): Duration {
        val available = (cancelSeconds - leaseSeconds).seconds
        val configured = operatorSettings.stalenessMargin
        val margin = if (configured > OperatorSettings.DEFAULT_STALENESS_MARGIN) configured else minOf(configured, available / 3)
        if (available - margin < MIN_LIMIT) {
            throw InvalidSettingException(
                "deployment.workers.cancel_s: lease_s and hold.margin.s ($margin) must leave at least 1 s of it",
            )
        }
        return minOf(operatorSettings.stalenessLimit, available - margin)
    }
}
