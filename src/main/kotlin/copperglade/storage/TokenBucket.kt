package copperglade.storage

import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/** A budget of so many per second, with a burst of [burstS] seconds' worth. */
class TokenBucket(perSecond: Double, private val burstS: Double, private var at: MonotonicTime) {
    var perSecond = perSecond
        private set
    private var tokens = perSecond * burstS

    fun setRate(rate: Double, now: MonotonicTime) {
        refill(now)
        perSecond = rate
        tokens = min(tokens, rate * burstS)
    }

    /**
     * Takes [count] if there are as many. A large count passes when the bucket is half full, and what comes later pays
     * for the rest: waiting for a bucket that small takers keep from filling up, it might wait for ever.
     *
     * @param reserve how full the bucket must be beforehand, from 0 to 1: what can wait leaves that to others.
     */
    fun tryTake(count: Int, now: MonotonicTime, reserve: Double = 0.0): Boolean {
        refill(now)
        if (tokens < max(min(count.toDouble(), capacity * LARGE_PASSES), capacity * reserve)) return false
        tokens -= count
        return true
    }

    /** Takes [count] in any case; what comes later pays for it. */
    fun take(count: Int, now: MonotonicTime) {
        refill(now)
        tokens -= count
    }

    fun available(now: MonotonicTime): Int {
        refill(now)
        return tokens.toInt().coerceAtLeast(0)
    }

    /** The most that it ever holds. */
    val capacity: Double get() = perSecond * burstS

    /** How full the bucket is, from 0 to 1. */
    fun level(now: MonotonicTime): Double {
        refill(now)
        return (tokens / (perSecond * burstS)).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val LARGE_PASSES = 0.5
    }

    private fun refill(now: MonotonicTime) {
        tokens = min(perSecond * burstS, tokens + perSecond * now.secondsSince(at).coerceAtLeast(0.0))
        at = now
    }
}

/** How often something has happened a second, fading over about [overS] seconds. */
class RecentRate(private val overS: Double) {
    private var sum = 0.0
    private var at = MonotonicTime.NEVER

    fun add(count: Int, now: MonotonicTime) {
        fade(now)
        sum += count
    }

    fun rate(now: MonotonicTime): Double {
        fade(now)
        return sum / overS
    }

    private fun fade(now: MonotonicTime) {
        sum *= exp(-now.secondsSince(at).coerceAtLeast(0.0) / overS)
        at = now
    }
}

/** How controllers share a budget by what each has said it wants. */
object BudgetShare {
    /** This part is dealt out evenly, so that whoever begins to write has something to begin with. */
    private const val EVENLY = 0.4

    /** A controller's part, from 0 to 1; [others] holds null for one that has not been heard: it may want as much. */
    fun of(wanted: Double, others: List<Double?>, budget: Double): Double {
        val floor = budget * EVENLY / (others.size + 1)
        val sum = wanted + floor + others.sumOf { (it ?: wanted) + floor }
        return (wanted + floor) / sum
    }
}
