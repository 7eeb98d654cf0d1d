package copperglade.transport

import copperglade.protocol.MonotonicTime
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SelectStrategy
import io.netty.channel.nio.NioIoHandler
import io.netty.util.IntSupplier
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration

/**
 * Lets messages gather under load, so that one look finds several. Waking up costs a small machine more than most messages
 * do: with some 300 messages a second to each controller, one at a time, a fleet day didn't end within its processor
 * time. The more a look finds, the later the next one, up to [MAX_PAUSE]; timers are late by no more than that. Where
 * messages come one by one, none of them waits.
 */
private class BatchingSelectStrategy : SelectStrategy {
    private var pause = MIN_PAUSE
    private var lastLook = System.nanoTime() - MAX_PAUSE

    override fun calculateStrategy(selectSupplier: IntSupplier, hasTasks: Boolean): Int {
        if (!hasTasks) {
            val left = lastLook + pause - System.nanoTime()
            if (left > 0) LockSupport.parkNanos(left)
            lastLook = System.nanoTime()
        }
        val found = selectSupplier.get()
        if (hasTasks) return found
        if (found >= MANY) pause = min(pause + pause / STEPS, MAX_PAUSE)
        if (found < FEW) pause = max(pause - pause / STEPS, MIN_PAUSE)
        return if (found > 0) found else SelectStrategy.SELECT
    }

    private companion object {
        const val MIN_PAUSE = 3_000_000L
        const val MAX_PAUSE = 25_000_000L
        const val STEPS = 8
        const val FEW = 2
        const val MANY = 3
    }
}

/** A single NIO thread that serves every socket and makes every decision, each of them behind [barrier]. */
class NettyEventLoop(val barrier: FaultBarrier = FaultBarrier.endingTheProcess()) : EventLoop {
    val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider()) { BatchingSelectStrategy() })

    override fun now() = MonotonicTime(System.nanoTime() / NANOS_PER_MS)

    override fun micros() = System.nanoTime() / NANOS_PER_MICRO

    override fun wallMillis() = System.currentTimeMillis()

    override fun after(delay: Duration, action: () -> Unit) {
        group.schedule({ barrier.run(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}
