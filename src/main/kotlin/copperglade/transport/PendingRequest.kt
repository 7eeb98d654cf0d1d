package copperglade.transport

import copperglade.protocol.Endpoint
import io.netty.channel.Channel
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** An outgoing request. [onReply] is called once: on the reply, on the timeout or on the loss of the connection, whichever is first. */
internal class PendingRequest(
    private val loop: NettyEventLoop,
    val endpoint: Endpoint,
    val request: Request,
    val timeout: Duration,
    private val onReply: (Reply?) -> Unit,
) {
    var isFinished = false
        private set

    /** The channel on which the request was sent; closed on a timeout, so that a late reply can't be matched to a later request. */
    var channel: Channel? = null
    private val timeoutTimer: ScheduledFuture<*> = loop.group.schedule(::onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    /** Completes the request with [reply], or null where none was received. No effect once the request is finished. */
    fun finish(reply: Reply?) {
        if (isFinished) return
        isFinished = true
        timeoutTimer.cancel(false)
        loop.barrier.run { onReply(reply) }
    }

    private fun onTimeout() {
        finish(null)
        channel?.close()
    }
}
