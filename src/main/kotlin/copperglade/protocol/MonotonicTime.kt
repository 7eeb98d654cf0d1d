package copperglade.protocol

import kotlin.time.Duration

/** A reading of this process's monotonic clock, in milliseconds. */
@JvmInline
value class MonotonicTime(val millis: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = millis.compareTo(other.millis)

    operator fun plus(duration: Duration) = MonotonicTime(millis + duration.inWholeMilliseconds)

    operator fun minus(duration: Duration) = MonotonicTime(millis - duration.inWholeMilliseconds)

    companion object {
        /** A time earlier than every reading, by more than any duration that is added to a reading. */
        val NEVER = MonotonicTime(Long.MIN_VALUE / 4)
    }
}

/** Seconds from [earlier] to this time. */
fun MonotonicTime.secondsSince(earlier: MonotonicTime): Double = (millis - earlier.millis) / 1000.0
