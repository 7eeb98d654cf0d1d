package copperglade.fleet

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.exp
import kotlin.math.max

/**
 * The level of demand that the fleet is scaled to. The level rises with demand at once and declines slowly, since demand comes in bursts.
 *
 * @param hysteresisReplacements the time constant of the exponential decline, in multiples of the time that replacing a machine takes.
 */
internal class DemandLevel(private val hysteresisReplacements: Double) {
    var onDemandCpus = 0.0
        private set
    var spotCpus = 0.0
        private set
    private var updatedAt = MonotonicTime.NEVER

    fun update(demand: Demand, replacementSeconds: Double, now: MonotonicTime) {
        val remaining = remainingFraction(replacementSeconds, now)
        onDemandCpus = max(demand.onDemandCpus, onDemandCpus * remaining)
        spotCpus = max(demand.spotCpus, spotCpus * remaining)
        updatedAt = now
    }

    /** The fraction of the former level that is left after the time since the last update. */
    private fun remainingFraction(replacementSeconds: Double, now: MonotonicTime): Double {
        if (updatedAt == MonotonicTime.NEVER) return 0.0
        return exp(-now.secondsSince(updatedAt) / (replacementSeconds * hysteresisReplacements))
    }

    /** Discards the level, so that the next update sets it from the current demand alone. */
    fun reset() {
        updatedAt = MonotonicTime.NEVER
    }
}
