package copperglade.jobs

import copperglade.protocol.Cancellation
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerMessageCodec
import copperglade.settings.Peer
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells the other controllers of cancellations that have just become durable, before the user is told. An owner that the
 * state service refuses ends the tasks at once then, and not only with its knowledge; it starts none of them any more. It
 * only helps: who hears nothing keeps to the age of what it knows.
 */
class CancellationBroadcast(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val peers: List<Peer>,
    private val replica: Replica,
    /** For so long it is tried to tell a controller that does not answer. */
    private val worthTelling: Duration,
) {
    private class PendingNotice(val cancellation: Cancellation, val since: MonotonicTime, val told: () -> Unit)

    private val pendingNotices = peers.associateWith { ArrayList<PendingNotice>() }
    private val busy = HashSet<Peer>()

    /** Calls [done] once all others have heard of it, or after a short while. */
    fun tell(cancellation: Cancellation, done: () -> Unit) {
        var left = peers.size
        var over = false

        fun finish() {
            if (over) return
            over = true
            done()
        }
        if (left == 0) return finish()
        loop.after(PATIENCE, ::finish)
        val notice = PendingNotice(cancellation, loop.now()) { if (--left == 0) finish() }
        for (peer in peers) {
            pendingNotices.getValue(peer) += notice
            send(peer)
        }
    }

    /** One message at a time to each; what comes meanwhile goes together with the next one. */
    private fun send(peer: Peer) {
        val waiting = pendingNotices.getValue(peer)
        waiting.removeIf { loop.now() >= it.since + worthTelling }
        if (waiting.isEmpty() || !busy.add(peer)) return
        val sent = waiting.take(MAX_AT_ONCE)
        val body = PeerMessageCodec.encodeCancellations(sent.map { it.cancellation })
        http.call(peer.endpoint, Request(Method.POST, PeerMessageCodec.CANCELLATIONS_PATH, body), TIMEOUT) { reply ->
            if (reply == null) {
                loop.after(RETRY) { next(peer) }
            } else {
                waiting.removeAll(sent.toSet())
                sent.forEach { it.told() }
                next(peer)
            }
        }
    }

    private fun next(peer: Peer) {
        busy -= peer
        send(peer)
    }

    fun receive(cancellations: List<Cancellation>) = cancellations.forEach { replica.applyRemoteCancellation(it.job, it.revision) }

    private companion object {
        const val MAX_AT_ONCE = 500
        val PATIENCE = 250.milliseconds
        val TIMEOUT = 1.seconds
        val RETRY = 300.milliseconds
    }
}
