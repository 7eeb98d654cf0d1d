package copperglade.transport

import io.netty.channel.SelectStrategy
import io.netty.util.IntSupplier
import java.util.concurrent.locks.LockSupport
import kotlin.math.max
import kotlin.math.min

/**
 * Delays selections under load, so that one selection returns several ready channels. On a small machine, a wake-up of the thread
 * costs more processor time than the handling of most messages.
 *
 * The minimum interval between two selections grows while selections return many ready channels, up to [MAX_DELAY_NANOS]; timers are
 * late by no more than that. A message that arrives later than this interval after the last selection is not delayed.
 */
internal class BatchingSelectStrategy : SelectStrategy {
    private var delayNanos = MIN_DELAY_NANOS
    private var lastSelectionNanos = System.nanoTime() - MAX_DELAY_NANOS

    override fun calculateStrategy(selectSupplier: IntSupplier, hasTasks: Boolean): Int {
        if (!hasTasks) awaitNextSelection()
        val readyCount = selectSupplier.get()
        if (hasTasks) return readyCount
        adjustDelay(readyCount)
        return if (readyCount > 0) readyCount else SelectStrategy.SELECT
    }

    private fun awaitNextSelection() {
        val remainingNanos = lastSelectionNanos + delayNanos - System.nanoTime()
        if (remainingNanos > 0) LockSupport.parkNanos(remainingNanos)
        lastSelectionNanos = System.nanoTime()
    }

    private fun adjustDelay(readyCount: Int) {
        if (readyCount >= MANY_READY) delayNanos = min(delayNanos + delayNanos / ADJUSTMENT_DIVISOR, MAX_DELAY_NANOS)
        if (readyCount < FEW_READY) delayNanos = max(delayNanos - delayNanos / ADJUSTMENT_DIVISOR, MIN_DELAY_NANOS)
    }

    private companion object {
        const val MIN_DELAY_NANOS = 3_000_000L
        const val MAX_DELAY_NANOS = 25_000_000L
        const val ADJUSTMENT_DIVISOR = 8
        const val FEW_READY = 2
        const val MANY_READY = 3
    }
}
