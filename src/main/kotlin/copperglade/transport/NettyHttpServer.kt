package copperglade.transport

import copperglade.protocol.Endpoint
import copperglade.protocol.UserApiCodec
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.IdleState
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress

/**
 * An HTTP/1.1 server on one address.
 *
 * At [connectionLimit] connections, a new connection replaces the one that has been idle for longest, so that more clients than
 * connections take turns, and no client is refused merely because other clients stay connected. Where no connection is idle, requests
 * on the new connection are answered with 503. Once [REFUSED_SHARE] more connections than the limit are open, new ones are closed at
 * once, so that sockets remain for the controller's own outgoing connections.
 *
 * @param maxBodyBytes the maximum size of a request body; a larger one is answered with 400.
 */
class NettyHttpServer(
    private val loop: NettyEventLoop,
    private val connectionLimit: Int,
    private val maxBodyBytes: Int = MAX_PROTOCOL_BODY_BYTES,
    private val handler: RequestHandler,
) {
    private var connectionCount = 0

    /** Connections that have been answered and have not sent their next request. */
    private val idleConnections = IdleConnections<Channel>()

    /** Binds [address] (port 0: any free port) and returns the bound address; throws where the address can't be bound. */
    fun listen(address: Endpoint): Endpoint {
        val serverChannel = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, connectionLimit)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = accept(channel)
            })
            .bind(address.host, address.port)
            .sync()
            .channel()
        return Endpoint(address.host, (serverChannel.localAddress() as InetSocketAddress).port)
    }

    /** Accepts a new connection, marks its requests to be refused, or closes it at once. */
    private fun accept(channel: SocketChannel) {
        if (connectionCount >= connectionLimit) closeLongestIdle()
        val isRefused = connectionCount >= connectionLimit
        if (connectionCount >= connectionLimit * (1.0 + REFUSED_SHARE)) {
            channel.close()
            return
        }
        connectionCount++
        channel.closeFuture().addListener {
            connectionCount--
            idleConnections.remove(channel)
        }
        channel
            .pipeline()
            .addLast(IdleStateHandler(if (isRefused) REFUSED_READ_TIMEOUT_SECONDS else READ_TIMEOUT_SECONDS, 0, 0))
            .addLast(HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
            .addLast(BoundedAggregator())
            .addLast(ServerConnection(isRefused))
    }

    private fun closeLongestIdle() {
        val longestIdle = idleConnections.longestIdle(MIN_IDLE_NANOS) ?: return
        idleConnections.remove(longestIdle)
        longestIdle.close()
    }

    /** Answers a request whose body exceeds the limit with 400, and closes the connection. */
    private inner class BoundedAggregator : HttpObjectAggregator(maxBodyBytes) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
            val response =
                encode(
                    Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("body over ${maxBodyBytes / BYTES_PER_KIB} KiB", "body")),
                    keepAlive = false,
                )
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }

    /** Decodes the requests of a connection; where [isRefused], all requests are answered with 503. */
    private inner class ServerConnection(private val isRefused: Boolean) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            val keepAlive = HttpUtil.isKeepAlive(message)
            val channel = context.channel()
            idleConnections.remove(channel)
            when {
                message.decoderResult().isFailure ->
                    answer(channel, Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("not HTTP")), keepAlive = false)
                isRefused -> answer(channel, tooManyConnections(), keepAlive = false)
                else -> {
                    val request = Request(methodOf(message), message.uri(), ByteBufUtil.getBytes(message.content()))
                    loop.barrier.run { handler.handle(request) { answer(channel, it, keepAlive) } }
                }
            }
        }

        private fun methodOf(message: FullHttpRequest): Method = when (message.method()) {
            HttpMethod.GET -> Method.GET
            HttpMethod.POST -> Method.POST
            HttpMethod.DELETE -> Method.DELETE
            else -> Method.OTHER
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is IdleStateEvent && event.state() == IdleState.READER_IDLE) context.close()
        }

        @Deprecated("Netty's own name for it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause is VirtualMachineError) loop.barrier.fail(cause)
            log.debug("connection_lost side=server error={}", cause.toString())
            context.close()
        }
    }

    /** Sends [reply]; does nothing where the connection is closed. */
    private fun answer(channel: Channel, reply: Reply, keepAlive: Boolean) {
        if (!channel.isActive) return
        val written = channel.writeAndFlush(encode(reply, keepAlive))
        if (keepAlive) idleConnections.add(channel) else written.addListener(ChannelFutureListener.CLOSE)
    }

    companion object {
        private const val READ_TIMEOUT_SECONDS = 40
        private const val REFUSED_READ_TIMEOUT_SECONDS = 5

        /** The maximum number of refused connections that are open at a time, as a share of the limit. */
        private const val REFUSED_SHARE = 0.1
        private const val MAX_REQUEST_LINE_BYTES = 4096
        private const val MAX_HEADER_BYTES = 8192
        private const val MAX_CHUNK_BYTES = 8192
        private const val BYTES_PER_KIB = 1024

        /** The maximum size of a request body in the protocol with users and workers. */
        const val MAX_PROTOCOL_BODY_BYTES = 64 * BYTES_PER_KIB

        /** The minimum idle time before a connection is closed: the next request on a connection just answered may be in flight. */
        private const val MIN_IDLE_NANOS = 300_000_000L
        private val log = LoggerFactory.getLogger("transport")

        private fun tooManyConnections() =
            Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("too many connections"), retryAfterSeconds = 1)

        private fun encode(reply: Reply, keepAlive: Boolean): DefaultFullHttpResponse {
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status),
                Unpooled.wrappedBuffer(reply.body),
            )
            val headers = response.headers()
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body.size)
            if (reply.body.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            reply.retryAfterSeconds?.let { headers.setInt(HttpHeaderNames.RETRY_AFTER, it) }
            if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            return response
        }
    }
}
