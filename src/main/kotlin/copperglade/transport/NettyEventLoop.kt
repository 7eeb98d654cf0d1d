package copperglade.transport

import copperglade.protocol.Moment
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A single NIO thread that serves every socket and makes every decision. */
class NettyEventLoop : EventLoop {
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    override fun now() = Moment(System.nanoTime() / NANOS_PER_MS)

    override fun wallMillis() = System.currentTimeMillis()

    override fun after(delay: Duration, action: () -> Unit) {
        group.schedule({ guarded(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    companion object {
        private const val NANOS_PER_MS = 1_000_000L
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
