package copperglade.storage

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.exp

/** The rate of events per second, as an exponentially weighted average with a time constant of [windowSeconds] seconds. */
internal class RecentRate(private val windowSeconds: Double) {
    private var weightedCount = 0.0
    private var updatedAt = MonotonicTime.NEVER

    fun add(count: Int, now: MonotonicTime) {
        decay(now)
        weightedCount += count
    }

    fun rate(now: MonotonicTime): Double {
        decay(now)
        return weightedCount / windowSeconds
    }

    private fun decay(now: MonotonicTime) {
        weightedCount *= exp(-now.secondsSince(updatedAt).coerceAtLeast(0.0) / windowSeconds)
        updatedAt = now
    }
}
