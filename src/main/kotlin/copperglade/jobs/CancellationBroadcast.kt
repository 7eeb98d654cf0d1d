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
 * Sends cancellations that have just become durable to the other controllers, before the user receives the answer. A shard owner
 * without access to the state service can then stop the tasks at once. Correctness doesn't depend on the broadcast: a controller that it
 * doesn't reach may act only on records of limited age.
 *
 * @param maxNoticeAge how long a cancellation is resent to a controller that doesn't answer.
 */
class CancellationBroadcast(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val peers: List<Peer>,
    private val replica: Replica,
    private val maxNoticeAge: Duration,
) {
    /** A cancellation that a controller has not acknowledged yet. */
    private class Notice(val cancellation: Cancellation, val createdAt: MonotonicTime, val acknowledgements: Acknowledgements)

    /** Calls [onDone] exactly once: when all controllers have acknowledged, or on [finish] if that is earlier. */
    private class Acknowledgements(private var pending: Int, private val onDone: () -> Unit) {
        private var finished = false

        fun acknowledge() {
            pending--
            if (pending == 0) finish()
        }

        fun finish() {
            if (finished) return
            finished = true
            onDone()
        }
    }

    private val pendingNotices = peers.associateWith { ArrayList<Notice>() }
    private val peersInFlight = HashSet<Peer>()

    /** Calls [onDone] once all other controllers have acknowledged [cancellation], at the latest after [ACKNOWLEDGEMENT_TIMEOUT]. */
    fun broadcast(cancellation: Cancellation, onDone: () -> Unit) {
        if (peers.isEmpty()) return onDone()
        val acknowledgements = Acknowledgements(peers.size, onDone)
        loop.after(ACKNOWLEDGEMENT_TIMEOUT, acknowledgements::finish)
        val notice = Notice(cancellation, loop.now(), acknowledgements)
        for (peer in peers) {
            pendingNotices.getValue(peer) += notice
            send(peer)
        }
    }

    /** Applies cancellations that another controller has sent. */
    fun receive(cancellations: List<Cancellation>) = cancellations.forEach { replica.applyRemoteCancellation(it.job, it.revision) }

    /** Sends one message at a time to each controller; notices that are added meanwhile are batched into the next message. */
    private fun send(peer: Peer) {
        val pending = pendingNotices.getValue(peer)
        pending.removeIf { loop.now() >= it.createdAt + maxNoticeAge }
        if (pending.isEmpty() || !peersInFlight.add(peer)) return
        val sent = pending.take(MAX_NOTICES_PER_MESSAGE)
        val body = PeerMessageCodec.encodeCancellations(sent.map { it.cancellation })
        val request = Request(Method.POST, PeerMessageCodec.CANCELLATIONS_PATH, body)
        http.call(peer.endpoint, request, REQUEST_TIMEOUT) { reply ->
            if (reply == null) loop.after(RETRY_INTERVAL) { sendNext(peer) } else onAcknowledged(peer, sent)
        }
    }

    private fun onAcknowledged(peer: Peer, sent: List<Notice>) {
        pendingNotices.getValue(peer).removeAll(sent.toSet())
        sent.forEach { it.acknowledgements.acknowledge() }
        sendNext(peer)
    }

    private fun sendNext(peer: Peer) {
        peersInFlight -= peer
        send(peer)
    }

    private companion object {
        const val MAX_NOTICES_PER_MESSAGE = 500
        val ACKNOWLEDGEMENT_TIMEOUT = 250.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
        val RETRY_INTERVAL = 300.milliseconds
    }
}
