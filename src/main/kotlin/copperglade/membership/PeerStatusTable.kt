package copperglade.membership

import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerStatus
import copperglade.settings.Peer
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The latest status of each controller, as long as it is recent. Only hints: whoever acts on one checks it against the records. */
class PeerStatusTable(private val loop: EventLoop, private val self: MemberId, private val peers: List<Peer>) {
    private class Received(val status: PeerStatus, val at: MonotonicTime)

    private var own: PeerStatus? = null
    private val direct = HashMap<MemberId, Received>()
    private val fromStateService = HashMap<MemberId, Received>()

    /** Keeps the [status] that this controller tells its peers. */
    fun recordOwn(status: PeerStatus) {
        own = status
    }

    /** Keeps a [status] that a peer has sent. */
    fun recordReceived(status: PeerStatus) {
        direct[status.member] = Received(status, loop.now())
        if (status.member == self) own = status
    }

    /** Keeps a [status] that came through the state service: it may hold only a part of the machines. */
    fun recordFromStateService(status: PeerStatus) {
        if (status.member != self) fromStateService[status.member] = Received(status, loop.now())
    }

    /** The status of [member] as it told us itself, or null where that is too old or there is none. */
    fun statusOf(member: MemberId): PeerStatus? = if (member == self) own else recentDirect(member)

    /** Like [statusOf]; where there is none, a recent one that came through the state service. */
    fun capacityStatusOf(member: MemberId): PeerStatus? {
        if (member == self) return own
        return recentDirect(member) ?: fromStateService[member]?.takeIf { loop.now() < it.at + STATE_SERVICE_LIFETIME }?.status
    }

    private fun recentDirect(member: MemberId): PeerStatus? =
        direct[member]?.takeIf { loop.now() < it.at + DIRECT_LIFETIME }?.status

    /** Whether a peer that we hear has had an answer of the state service lately: it, or whom it knows, takes our shards over. */
    fun peersReachStateService(): Boolean = peers.any { peer ->
        recentDirect(peer.member)?.let { it.stateServiceAnswerAgeMillis < STATE_SILENCE_LIMIT_MILLIS } ?: false
    }

    /** Whether there are peers, and none of them is heard. */
    fun hearsNoPeer(): Boolean = peers.isNotEmpty() && peers.none { recentDirect(it.member) != null }

    companion object {
        /** After so long without an answer, a controller counts as cut off from the state service. */
        const val STATE_SILENCE_LIMIT_MILLIS = 3000L
        private val DIRECT_LIFETIME = 2.seconds
        private val STATE_SERVICE_LIFETIME = 4.seconds
    }
}
