package copperglade.transport

import copperglade.protocol.Moment
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SelectStrategy
import io.netty.channel.nio.NioIoHandler
import io.netty.util.IntSupplier
import org.slf4j.LoggerFactory
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration

/**
 * Looks for messages at most once in [PACE_NANOS], so that under load one look finds several. Waking up costs a small machine
 * more than most messages do: with some 300 messages a second to each controller, one at a time, a fleet day didn't end
 * within its processor time. A message that comes alone waits for nothing, and timers that are due don't either.
 */
private class GatheringSelectStrategy : SelectStrategy {
    private var lastLook = System.nanoTime() - PACE_NANOS

    override fun calculateStrategy(selectSupplier: IntSupplier, hasTasks: Boolean): Int {
        if (hasTasks) return selectSupplier.get()
        val pause = lastLook + PACE_NANOS - System.nanoTime()
        if (pause > 0) LockSupport.parkNanos(pause)
        lastLook = System.nanoTime()
        return SelectStrategy.SELECT
    }

    private companion object {
        const val PACE_NANOS = 8_000_000L
    }
}

/** A single NIO thread that serves every socket and makes every decision. */
class NettyEventLoop : EventLoop {
    val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider()) { GatheringSelectStrategy() })

    override fun now() = Moment(System.nanoTime() / NANOS_PER_MS)

    override fun micros() = System.nanoTime() / NANOS_PER_MICRO

    override fun wallMillis() = System.currentTimeMillis()

    override fun after(delay: Duration, action: () -> Unit) {
        group.schedule({ guarded(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    companion object {
        private const val NANOS_PER_MS = 1_000_000L
        private const val NANOS_PER_MICRO = 1_000L
        private val log = LoggerFactory.getLogger("loop")

        /** A fault in one decision must not silence what follows from it without a trace. */
        fun guarded(action: () -> Unit) {
            try {
                action()
            } catch (fault: Throwable) {
                log.error("unexpected fault", fault)
            }
        }
    }
}
