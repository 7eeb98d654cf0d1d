package copperglade.storage

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.max
import kotlin.math.min

/** A token bucket that refills at [perSecond] and holds at most the tokens of [burstSeconds] seconds. It starts full at [updatedAt]. */
class TokenBucket(perSecond: Double, private val burstSeconds: Double, private var updatedAt: MonotonicTime) {
    var perSecond = perSecond
        private set
    private var tokens = perSecond * burstSeconds

    /** The maximum number of tokens in the bucket. */
    val capacity: Double get() = perSecond * burstSeconds

    fun setRate(rate: Double, now: MonotonicTime) {
        refill(now)
        perSecond = rate
        tokens = min(tokens, rate * burstSeconds)
    }

    /**
     * Takes [count] tokens if enough are available; returns whether the tokens were taken. A count above half of the capacity requires only
     * a half-full bucket, and the rest is deducted from later refills. Otherwise, frequent small requests could keep the bucket from
     * filling up and block a large request forever.
     *
     * @param reserve the fill level, from 0 to 1, that the bucket must have beforehand. Deferrable requests leave this reserve to others.
     */
    fun tryTake(count: Int, now: MonotonicTime, reserve: Double = 0.0): Boolean {
        refill(now)
        if (tokens < max(min(count.toDouble(), capacity * LARGE_TAKE_FRACTION), capacity * reserve)) return false
        tokens -= count
        return true
    }

    /** Takes [count] tokens unconditionally. A deficit is deducted from later refills. */
    fun take(count: Int, now: MonotonicTime) {
        refill(now)
        tokens -= count
    }

    /** Returns the number of whole tokens, at least 0. */
    fun available(now: MonotonicTime): Int {
        refill(now)
        return tokens.toInt().coerceAtLeast(0)
    }

    /** Returns the fill level of the bucket, from 0 to 1. */
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
