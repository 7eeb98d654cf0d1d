package copperglade.transport

import copperglade.protocol.MonotonicTime
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A single NIO thread that serves all sockets and runs all actions, each action through [barrier]. */
class NettyEventLoop(val barrier: FaultBarrier = FaultBarrier.haltingProcess()) : EventLoop {
    val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider()) { BatchingSelectStrategy() })

    override fun now() = MonotonicTime(System.nanoTime() / NANOS_PER_MILLI)

    override fun monotonicMicros() = System.nanoTime() / NANOS_PER_MICRO

    override fun wallMillis() = System.currentTimeMillis()

    override fun after(delay: Duration, action: () -> Unit) {
        group.schedule({ barrier.run(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}
