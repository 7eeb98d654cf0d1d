package copperglade.transport

import copperglade.protocol.Endpoint
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.slf4j.LoggerFactory
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Keeps connections open and reuses them, one request at a time on each. A request that got no answer in time takes
 * its connection with it, so that a late answer can never be taken for that of a later request.
 */
class NettyHttpCaller(private val group: EventLoopGroup) : HttpCaller {
    private val idle = HashMap<Endpoint, ArrayDeque<Exchange>>()
    private val bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))

    override fun call(to: Endpoint, request: Request, timeout: Duration, done: (Reply?) -> Unit) {
        val waiting = Waiting(to, request, done)
        waiting.deadline = group.schedule({ waiting.timedOut() }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val reused = takeIdle(to)
        if (reused != null) reused.send(waiting) else connect(waiting, timeout)
    }

    private fun takeIdle(to: Endpoint): Exchange? {
        val pool = idle[to] ?: return null
        while (true) {
            val exchange = pool.removeLastOrNull() ?: return null
            if (exchange.channel.isActive) return exchange
        }
    }

    private fun connect(waiting: Waiting, timeout: Duration) {
        val exchange = Exchange(waiting.to)
        val connecting = bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel
                        .pipeline()
                        .addLast(HttpClientCodec())
                        .addLast(HttpObjectAggregator(LONGEST_ANSWER))
                        .addLast(exchange)
                }
            })
            .connect(waiting.to.host, waiting.to.port)
        connecting.addListener {
            if (!it.isSuccess) {
                waiting.finish(null)
            } else if (waiting.over) {
                connecting.channel().close()
            } else {
                exchange.send(waiting)
            }
        }
    }

    /** One request on its way, until it is answered, times out or loses its connection. */
    private class Waiting(val to: Endpoint, val request: Request, private val done: (Reply?) -> Unit) {
        var over = false
            private set
        var channel: Channel? = null
        var deadline: ScheduledFuture<*>? = null

        fun finish(reply: Reply?) {
            if (over) return
            over = true
            deadline?.cancel(false)
            NettyEventLoop.guarded { done(reply) }
        }

        fun timedOut() {
            finish(null)
            channel?.close()
        }
    }

    private inner class Exchange(private val to: Endpoint) : SimpleChannelInboundHandler<FullHttpResponse>() {
        lateinit var channel: Channel
        private var current: Waiting? = null

        override fun handlerAdded(context: ChannelHandlerContext) {
            channel = context.channel()
        }

        fun send(waiting: Waiting) {
            current = waiting
            waiting.channel = channel
            val request = waiting.request
            val message = DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method.name),
                request.path,
                Unpooled.wrappedBuffer(request.body),
            )
            message.headers().set(HttpHeaderNames.HOST, to.toString())
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
            channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
        }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
            val finished = current
            current = null
            val reply = Reply(message.status().code(), ByteBufUtil.getBytes(message.content()))
            if (HttpUtil.isKeepAlive(message) && finished != null && !finished.over) {
                idle.getOrPut(to) { ArrayDeque() }.addLast(this)
            } else {
                context.close()
            }
            finished?.finish(reply)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            idle[to]?.remove(this)
            if (idle[to]?.isEmpty() == true) idle.remove(to)
            current?.finish(null)
            current = null
        }

        @Deprecated("Netty's own name for it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug("connection to {} lost: {}", to, cause.toString())
            context.close()
        }
    }

    companion object {
        private const val LONGEST_ANSWER = 16 * 1024 * 1024
        private val log = LoggerFactory.getLogger("http.caller")
    }
}
