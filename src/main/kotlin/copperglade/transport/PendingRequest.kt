package copperglade.transport

import copperglade.protocol.Endpoint
import io.netty.channel.Channel
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A request of ours until it is answered, times out or loses its connection, whichever comes first: [onReply] is called once. */
internal class PendingRequest(
    private val loop: NettyEventLoop,
    val endpoint: Endpoint,
    val request: Request,
    val timeout: Duration,
    private val onReply: (Reply?) -> Unit,
) {
    var isFinished = false
        private set

    /** Where it has been sent; closed on a timeout, so that a late reply can't be taken for that of a later request. */
    var channel: Channel? = null
    private val timeoutTimer: ScheduledFuture<*> = loop.group.schedule(::onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    /** Ends it with [reply]; null: none came. */
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
