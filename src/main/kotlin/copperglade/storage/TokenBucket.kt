package copperglade.storage

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.max
import kotlin.math.min

/** A budget that refills at [perSecond] and holds at most what [burstSeconds] seconds refill. It starts full at [updatedAt]. */
class TokenBucket(perSecond: Double, private val burstSeconds: Double, private var updatedAt: MonotonicTime) {
    var perSecond = perSecond
        private set
    private var tokens = perSecond * burstSeconds

    /** The most tokens that the bucket holds. */
    val capacity: Double get() = perSecond * burstSeconds

    fun setRate(rate: Double, now: MonotonicTime) {
        refill(now)
        perSecond = rate
        tokens = min(tokens, rate * burstSeconds)
    }

    /**
     * Takes [count] tokens if there are as many. A count above half of the capacity needs no more than a half-full bucket, and later
     * takers pay for the rest: otherwise small takers, which keep the bucket from filling up, could block it for ever.
     *
     * @param reserve how full the bucket must be beforehand, from 0 to 1: what can wait leaves that to others.
     */
    fun tryTake(count: Int, now: MonotonicTime, reserve: Double = 0.0): Boolean {
        refill(now)
        if (tokens < max(min(count.toDouble(), capacity * LARGE_TAKE_FRACTION), capacity * reserve)) return false
        tokens -= count
        return true
    }

    /** Takes [count] tokens unconditionally; later takers pay for them. */
    fun take(count: Int, now: MonotonicTime) {
        refill(now)
        tokens -= count
    }

    /** The number of whole tokens, at least 0. */
    fun available(now: MonotonicTime): Int {
        refill(now)
        return tokens.toInt().coerceAtLeast(0)
    }

    /** How full the bucket is, from 0 to 1. */
    fun level(now: MonotonicTime): Double {
        refill(now)
        return (tokens / (perSecond * burstSeconds)).coerceIn(0.0, 1.0)
    }

    private fun refill(now: MonotonicTime) {
        tokens = min(perSecond * burstSeconds, tokens + perSecond * now.secondsSince(updatedAt).coerceAtLeast(0.0))
        updatedAt = now
    }

    private companion object {
        const val LARGE_TAKE_FRACTION = 0.5
    }
}
