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
 * @param connectionLimit beyond it, a new connection takes the place of the one that has been idle for longest. Where none is
 * idle, it is told to come back later, and beyond some of these closed at once: sockets must be left for our own calls. So
 * more callers than connections take turns, and none of them is refused for as long as others stay connected.
 * @param longestBody in bytes; a longer one is refused with 400.
 */
class NettyHttpServer(
    private val loop: NettyEventLoop,
    private val connectionLimit: Int,
    private val longestBody: Int = MAX_PROTOCOL_BODY,
    private val handler: RequestHandler,
) {
    private var open = 0

    /** Connections that wait for their next request. */
    private val idle = IdleConnections<Channel>()

    /** Listens at [at], or with port 0 at any free port; returns where. */
    fun listen(at: Endpoint): Endpoint {
        val listening = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, connectionLimit)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = accept(channel)
            })
            .bind(at.host, at.port)
            .sync()
            .channel()
        return Endpoint(at.host, (listening.localAddress() as InetSocketAddress).port)
    }

    private fun accept(channel: SocketChannel) {
        if (open >= connectionLimit) closeLongestIdle()
        val refused = open >= connectionLimit
        if (open >= connectionLimit * (1.0 + SPARE)) {
            channel.close()
            return
        }
        open++
        channel.closeFuture().addListener {
            open--
            idle.remove(channel)
        }
        channel
            .pipeline()
            .addLast(IdleStateHandler(if (refused) REFUSED_IDLE_S else IDLE_S, 0, 0))
            .addLast(HttpServerCodec(MAX_LINE, MAX_HEADERS, MAX_CHUNK))
            .addLast(BoundedAggregator())
            .addLast(Conversation(refused))
    }

    private fun closeLongestIdle() {
        val longest = idle.longest(MIN_IDLE_NANOS) ?: return
        idle.remove(longest)
        longest.close()
    }

    /** A body over the limit gets a plain 400, and the connection ends. */
    private inner class BoundedAggregator : HttpObjectAggregator(longestBody) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
            val response =
                response(
                    Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("body over ${longestBody / KIB} KiB", "body")),
                    keep = false,
                )
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private inner class Conversation(private val refused: Boolean) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            val keep = HttpUtil.isKeepAlive(message)
            idle.remove(context.channel())
            if (message.decoderResult().isFailure) {
                answer(context.channel(), Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("not HTTP")), keep = false)
                return
            }
            if (refused) {
                answer(
                    context.channel(),
                    Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("too many connections"), retryAfterSeconds = 1),
                    keep = false,
                )
                return
            }
            val method = when (message.method()) {
                HttpMethod.GET -> Method.GET
                HttpMethod.POST -> Method.POST
                HttpMethod.DELETE -> Method.DELETE
                else -> Method.OTHER
            }
            val request = Request(method, message.uri(), ByteBufUtil.getBytes(message.content()))
            loop.barrier.run { handler.handle(request) { answer(context.channel(), it, keep) } }
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is IdleStateEvent && event.state() == IdleState.READER_IDLE) context.close()
        }

        @Deprecated("Netty's own name for it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause is VirtualMachineError) loop.barrier.broken(cause)
            log.debug("connection lost: {}", cause.toString())
            context.close()
        }
    }

    private fun answer(channel: Channel, reply: Reply, keep: Boolean) {
        if (!channel.isActive) return
        val written = channel.writeAndFlush(response(reply, keep))
        if (keep) idle.add(channel) else written.addListener(ChannelFutureListener.CLOSE)
    }

    companion object {
        private const val IDLE_S = 40
        private const val REFUSED_IDLE_S = 5

        /** This part of the limit may be refused at a time. */
        private const val SPARE = 0.1
        private const val MAX_LINE = 4096
        private const val MAX_HEADERS = 8192
        private const val MAX_CHUNK = 8192
        private const val KIB = 1024

        /** By the protocol with users and workers. */
        const val MAX_PROTOCOL_BODY = 64 * KIB

        /** A connection that has just been answered may bring its next request at once. */
        private const val MIN_IDLE_NANOS = 300_000_000L
        private val log = LoggerFactory.getLogger("http.server")

        private fun response(reply: Reply, keep: Boolean): DefaultFullHttpResponse {
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status),
                Unpooled.wrappedBuffer(reply.body),
            )
            val headers = response.headers()
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body.size)
            if (reply.body.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            reply.retryAfterSeconds?.let { headers.setInt(HttpHeaderNames.RETRY_AFTER, it) }
            if (!keep) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            return response
        }
    }
}
