package copperglade.fleet

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.exp
import kotlin.math.max

/**
 * The level of demand that the fleet is scaled to: it follows demand up at once and down slowly, since demand comes in bursts.
 *
 * @param hysteresisReplacements the time constant of the decline, in multiples of the time that it takes to replace a machine.
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

    /** What is left of the former level. */
    private fun remainingFraction(replacementSeconds: Double, now: MonotonicTime): Double {
        if (updatedAt == MonotonicTime.NEVER) return 0.0
        return exp(-now.secondsSince(updatedAt) / (replacementSeconds * hysteresisReplacements))
    }

    /** Lets the next update start from its demand alone. */
    fun reset() {
        updatedAt = MonotonicTime.NEVER
    }
}
