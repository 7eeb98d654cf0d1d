package copperglade.transport

import copperglade.protocol.Endpoint
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.slf4j.LoggerFactory

/**
 * An outgoing connection to [endpoint], with at most one request in flight. A request that times out closes its connection.
 *
 * @param onResponse called after each response, when this connection is back in [pool] or being closed.
 */
internal class ClientConnection(
    val endpoint: Endpoint,
    private val barrier: FaultBarrier,
    private val pool: ClientConnectionPool,
    private val onResponse: () -> Unit,
) : SimpleChannelInboundHandler<FullHttpResponse>() {
    /** Set when the channel's pipeline is initialized, before any request is sent. */
    private lateinit var channel: Channel
    private var inFlight: PendingRequest? = null

    val isOpen: Boolean get() = channel.isActive

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    fun send(pending: PendingRequest) {
        inFlight = pending
        pending.channel = channel
        channel.writeAndFlush(encode(pending.request)).addListener { if (!it.isSuccess) channel.close() }
    }

    fun close() {
        channel.close()
    }

    private fun encode(request: Request): DefaultFullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method.name),
            request.path,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(HttpHeaderNames.HOST, endpoint.toString())
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        return message
    }

    override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
        val completed = inFlight
        inFlight = null
        val reply = Reply(message.status().code(), ByteBufUtil.getBytes(message.content()))
        if (HttpUtil.isKeepAlive(message) && completed != null && !completed.isFinished) pool.add(this) else context.close()
        completed?.finish(reply)
        onResponse()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(this)
        inFlight?.finish(null)
        inFlight = null
    }

    @Deprecated("Netty's own name for it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is VirtualMachineError) barrier.fail(cause)
        log.debug("connection_lost side=client endpoint={} error={}", endpoint, cause.toString())
        context.close()
    }

    private companion object {
        val log = LoggerFactory.getLogger("transport")
    }
}
