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
class NettyHttpClient(
    private val loop: NettyEventLoop,
    private val connectionLimit: Int = Int.MAX_VALUE,
    /** Always to be reached, whatever the limit: there are few of them. */
    private val always: Set<Endpoint> = emptySet(),
    heapBytes: Long,
) : HttpClient {
    /**
     * A sixteenth of the heap: an answer is held several times over while it is read as a tree. A larger one counts as none; the
     * state service's changes after a long absence are the only answer without a bound.
     */
    private val longestAnswer = (heapBytes / PART_OF_HEAP).coerceIn(MIN_LIMIT, Int.MAX_VALUE.toLong()).toInt()

    private val group = loop.group
    private val idle = HashMap<Endpoint, ArrayDeque<Exchange>>()

    /** The same connections, by how long they have been idle. */
    private val idleConnections = IdleConnections<Exchange>()
    private var open = 0

    /** Open or being opened. */
    val connections: Int get() = open

    /** Requests that no connection was free for. */
    private val held = ArrayDeque<Pair<Waiting, Duration>>()
    private var sendingHeld = false
    private val bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))

    override fun call(to: Endpoint, request: Request, timeout: Duration, done: (Reply?) -> Unit) {
        val waiting = Waiting(to, request, done)
        waiting.deadline = group.schedule({ waiting.timedOut() }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val reused = takeIdle(to)
        when {
            reused != null -> reused.send(waiting)
            to in always || mayOpen() -> connect(waiting, timeout)
            else -> held.addLast(waiting to timeout)
        }
    }

    /** Makes room for a further connection by closing the one that has been idle for longest. */
    private fun mayOpen(): Boolean {
        if (open < connectionLimit) return true
        val longest = idleConnections.longest { it.to !in always } ?: return false
        unlist(longest)
        longest.channel.close()
        return open < connectionLimit
    }

    private fun list(exchange: Exchange) {
        idle.getOrPut(exchange.to) { ArrayDeque() }.addLast(exchange)
        idleConnections.add(exchange)
        // Machines come and go by the hundred, and one without power never closes its connection.
        while (true) {
            val longest = idleConnections.longest(MAX_IDLE_NANOS) ?: break
            unlist(longest)
            longest.channel.close()
        }
    }

    private fun unlist(exchange: Exchange) {
        idleConnections.remove(exchange)
        val pool = idle[exchange.to] ?: return
        pool.remove(exchange)
        if (pool.isEmpty()) idle.remove(exchange.to)
    }

    /** Closing a connection to make room calls back here before it returns: one at a time. */
    private fun sendHeld() {
        if (sendingHeld) return
        sendingHeld = true
        while (held.isNotEmpty()) {
            val (waiting, timeout) = held.first()
            val reused = if (waiting.over) null else takeIdle(waiting.to)
            if (reused == null && !waiting.over && !mayOpen()) break
            held.removeFirst()
            if (reused != null) {
                reused.send(waiting)
            } else if (!waiting.over) {
                connect(waiting, timeout)
            }
        }
        sendingHeld = false
    }

    private fun takeIdle(to: Endpoint): Exchange? {
        while (true) {
            val exchange = idle[to]?.lastOrNull() ?: return null
            unlist(exchange)
            if (exchange.channel.isActive) return exchange
        }
    }

    private fun connect(waiting: Waiting, timeout: Duration) {
        val exchange = Exchange(waiting.to)
        open++
        val connecting = bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel
                        .pipeline()
                        .addLast(HttpClientCodec())
                        .addLast(HttpObjectAggregator(longestAnswer))
                        .addLast(exchange)
                }
            })
            .connect(waiting.to.host, waiting.to.port)
        connecting.channel().closeFuture().addListener {
            open--
            sendHeld()
        }
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
    private inner class Waiting(val to: Endpoint, val request: Request, private val done: (Reply?) -> Unit) {
        var over = false
            private set
        var channel: Channel? = null
        var deadline: ScheduledFuture<*>? = null

        fun finish(reply: Reply?) {
            if (over) return
            over = true
            deadline?.cancel(false)
            loop.barrier.run { done(reply) }
        }

        fun timedOut() {
            finish(null)
            channel?.close()
        }
    }

    private inner class Exchange(val to: Endpoint) : SimpleChannelInboundHandler<FullHttpResponse>() {
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
                list(this)
            } else {
                context.close()
            }
            finished?.finish(reply)
            sendHeld()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            unlist(this)
            current?.finish(null)
            current = null
        }

        @Deprecated("Netty's own name for it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause is VirtualMachineError) loop.barrier.broken(cause)
            log.debug("connection to {} lost: {}", to, cause.toString())
            context.close()
        }
    }

    companion object {
        private const val PART_OF_HEAP = 16
        private const val MIN_LIMIT = 4L * 1024 * 1024
        private const val MAX_IDLE_NANOS = 60_000_000_000L
        private val log = LoggerFactory.getLogger("http.caller")
    }
}
