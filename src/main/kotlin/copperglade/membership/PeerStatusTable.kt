package copperglade.membership

import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerStatus
import copperglade.settings.Peer
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The latest recent status of each controller. Statuses are only hints: check them against the records before acting on them. */
class PeerStatusTable(private val loop: EventLoop, private val self: MemberId, private val peers: List<Peer>) {
    private class ReceivedStatus(val status: PeerStatus, val receivedAt: MonotonicTime)

    private var own: PeerStatus? = null
    private val receivedDirectly = HashMap<MemberId, ReceivedStatus>()
    private val fromStateService = HashMap<MemberId, ReceivedStatus>()

    /** Stores the [status] that this controller sends to its peers. */
    fun recordOwn(status: PeerStatus) {
        own = status
    }

    /** Stores a [status] that a peer has sent. */
    fun recordReceived(status: PeerStatus) {
        receivedDirectly[status.member] = ReceivedStatus(status, loop.now())
        if (status.member == self) own = status
    }

    /** Stores a [status] that was read from the state service: it may contain only a part of the machines. */
    fun recordFromStateService(status: PeerStatus) {
        if (status.member != self) fromStateService[status.member] = ReceivedStatus(status, loop.now())
    }

    /** The latest status that [member] itself has sent; null if there is none or it is too old. */
    fun statusOf(member: MemberId): PeerStatus? = if (member == self) own else recentDirect(member)

    /** Like [statusOf], with a recent status from the state service as the fallback. */
    fun capacityStatusOf(member: MemberId): PeerStatus? {
        if (member == self) return own
        return recentDirect(member) ?: fromStateService[member]?.takeIf { loop.now() < it.receivedAt + STATE_SERVICE_LIFETIME }?.status
    }

    private fun recentDirect(member: MemberId): PeerStatus? =
        receivedDirectly[member]?.takeIf { loop.now() < it.receivedAt + DIRECT_LIFETIME }?.status

    /**
     * Whether a peer with a recent status has lately received an answer from the state service: that peer, or another member,
     * takes over this controller's shards.
     */
    fun peersReachStateService(): Boolean = peers.any { peer ->
        recentDirect(peer.member)?.let { it.stateServiceAnswerAgeMillis < STATE_SERVICE_UNREACHABLE_AFTER_MILLIS } ?: false
    }

    /** Whether there are peers, and none of them has sent a recent status. */
    fun allPeersUnreachable(): Boolean = peers.isNotEmpty() && peers.none { recentDirect(it.member) != null }

    companion object {
        /** A controller without an answer for this long counts as disconnected from the state service. */
        const val STATE_SERVICE_UNREACHABLE_AFTER_MILLIS = 3000L
        private val DIRECT_LIFETIME = 2.seconds
        private val STATE_SERVICE_LIFETIME = 4.seconds
    }
}
