package copperglade.transport

import copperglade.protocol.MonotonicTime
import kotlin.time.Duration

/** The only source of time for decisions, so that tests can turn it by hand. */
interface Clock {
    /** The monotonic clock. */
    fun now(): MonotonicTime

    /** The same clock in microseconds: for measuring how long something takes, never for decisions. */
    fun micros(): Long = now().millis * MICROS_PER_MILLI

    /** Time of day in milliseconds; only for what people or other machines read. */
    fun wallMillis(): Long

    private companion object {
        const val MICROS_PER_MILLI = 1000
    }
}

/** The one thread on which everything is decided. */
interface EventLoop : Clock {
    /** Runs [action] once, on the loop, after [delay]; never before this call returns. */
    fun after(delay: Duration, action: () -> Unit)

    /** Runs [action] repeatedly, each time after a new [delay]. A fault in one run doesn't end the repetition. */
    fun scheduleRepeating(delay: () -> Duration, action: () -> Unit): Unit = after(delay()) {
        try {
            action()
        } finally {
            scheduleRepeating(delay, action)
        }
    }
}
