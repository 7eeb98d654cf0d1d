package copperglade.transport

import copperglade.protocol.MonotonicTime
import kotlin.time.Duration

/** The only source of time for decisions, so that tests can control the time. */
interface Clock {
    /** The current time of the monotonic clock. */
    fun now(): MonotonicTime

    /** The monotonic clock in microseconds; for measuring durations, never for decisions. */
    fun monotonicMicros(): Long = now().millis * MICROS_PER_MILLI

    /** Milliseconds since the Unix epoch; only for values that people or other machines read. */
    fun wallMillis(): Long

    private companion object {
        const val MICROS_PER_MILLI = 1000
    }
}

/** The single thread on which all decisions run. */
interface EventLoop : Clock {
    /** Runs [action] once, on the event loop, after [delay]; never before this call returns. */
    fun after(delay: Duration, action: () -> Unit)

    /** Runs [action] repeatedly, each time after a new [delay]. An exception in one run doesn't end the repetition. */
    fun scheduleRepeating(delay: () -> Duration, action: () -> Unit): Unit = after(delay()) {
        try {
            action()
        } finally {
            scheduleRepeating(delay, action)
        }
    }
}
