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
 * Sends requests over connections that are kept open and reused. Where [connectionLimit] is reached, the connection that has been idle for
 * longest is closed in favour of a new one; where none is idle, the request waits for one.
 *
 * @param heapBytes the bytes that the heap may take: the limit of a response follows from it.
 * @param unlimitedEndpoints are connected to whatever the limit; there are few of them.
 */
class NettyHttpClient(
    private val loop: NettyEventLoop,
    heapBytes: Long,
    private val connectionLimit: Int = Int.MAX_VALUE,
    private val unlimitedEndpoints: Set<Endpoint> = emptySet(),
) : HttpClient {
    /**
     * A sixteenth of the heap: a response is held several times over while it is read as a tree. A larger one counts as none; the
     * state service's changes after a long absence are the only response without a bound.
     */
    private val maxResponseBytes = (heapBytes / HEAP_DIVISOR).coerceIn(MIN_RESPONSE_LIMIT_BYTES, Int.MAX_VALUE.toLong()).toInt()
    private val pool = ClientConnectionPool()

    /** Open or being opened. */
    var connectionCount = 0
        private set

    /** Requests that no connection was free for, in order of their coming. */
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

    /** Whether a connection may be opened, if need be after closing the one that has been idle for longest. */
    private fun canConnect(): Boolean {
        if (connectionCount < connectionLimit) return true
        return pool.closeLongestIdle(unlimitedEndpoints) && connectionCount < connectionLimit
    }

    /** Closing a connection in favour of another calls back here before it returns: one call at a time. */
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
