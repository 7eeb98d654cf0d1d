package copperglade.transport

import copperglade.protocol.Endpoint
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpObjectAggregator
import kotlin.time.Duration

/**
 * Sends requests over connections that are kept open and reused. At [connectionLimit] connections, a new connection replaces the one
 * that has been idle for longest; where none is idle, the request is queued until a connection is free.
 *
 * @param heapBytes the heap budget, from which the maximum size of a response is derived.
 * @param unlimitedEndpoints the few endpoints to which connections are opened regardless of [connectionLimit].
 */
class NettyHttpClient(
    private val loop: NettyEventLoop,
    heapBytes: Long,
    private val connectionLimit: Int = Int.MAX_VALUE,
    private val unlimitedEndpoints: Set<Endpoint> = emptySet(),
) : HttpClient {
    /**
     * A sixteenth of the heap, since a response takes several times its size while it is parsed into a tree. A larger response counts
     * as no reply. The only response of unbounded size is the state service's list of changes after a long disconnection.
     */
    private val maxResponseBytes = (heapBytes / HEAP_DIVISOR).coerceIn(MIN_RESPONSE_LIMIT_BYTES, Int.MAX_VALUE.toLong()).toInt()
    private val pool = ClientConnectionPool()

    /** The number of connections that are open or being opened. */
    var connectionCount = 0
        private set

    /** Requests for which no connection was free, in order of arrival. */
    private val queuedRequests = ArrayDeque<PendingRequest>()
    private var isSendingQueued = false
    private val bootstrap = Bootstrap()
        .group(loop.group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))

    override fun call(to: Endpoint, request: Request, timeout: Duration, onReply: (Reply?) -> Unit) {
        val pending = PendingRequest(loop, to, request, timeout, onReply)
        val idle = pool.take(to)
        when {
            idle != null -> idle.send(pending)
            to in unlimitedEndpoints || canConnect() -> connect(pending)
            else -> queuedRequests.addLast(pending)
        }
    }

    /** Whether a connection may be opened; at the limit, closes the connection that has been idle for longest to make room for it. */
    private fun canConnect(): Boolean {
        if (connectionCount < connectionLimit) return true
        return pool.closeLongestIdle(unlimitedEndpoints) && connectionCount < connectionLimit
    }

    /**
     * Sends queued requests while connections are free. Closing an idle connection calls this function again; the nested call returns at
     * once.
     */
    private fun sendQueued() {
        if (isSendingQueued) return
        isSendingQueued = true
        while (queuedRequests.isNotEmpty()) {
            val next = queuedRequests.first()
            val idle = if (next.isFinished) null else pool.take(next.endpoint)
            if (idle == null && !next.isFinished && !canConnect()) break
            queuedRequests.removeFirst()
            if (idle != null) {
                idle.send(next)
            } else if (!next.isFinished) {
                connect(next)
            }
        }
        isSendingQueued = false
    }

    private fun connect(pending: PendingRequest) {
        val connection = ClientConnection(pending.endpoint, loop.barrier, pool, ::sendQueued)
        connectionCount++
        val connecting = bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, pending.timeout.inWholeMilliseconds.toInt())
            .handler(initializerOf(connection))
            .connect(pending.endpoint.host, pending.endpoint.port)
        connecting.channel().closeFuture().addListener {
            connectionCount--
            sendQueued()
        }
        connecting.addListener {
            when {
                !it.isSuccess -> pending.finish(null)
                pending.isFinished -> connecting.channel().close()
                else -> connection.send(pending)
            }
        }
    }

    private fun initializerOf(connection: ClientConnection) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel
                .pipeline()
                .addLast(HttpClientCodec())
                .addLast(HttpObjectAggregator(maxResponseBytes))
                .addLast(connection)
        }
    }

    private companion object {
        const val HEAP_DIVISOR = 16
        const val MIN_RESPONSE_LIMIT_BYTES = 4L * 1024 * 1024
    }
}
