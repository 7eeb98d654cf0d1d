package copperglade.membership

import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerMessageCodec
import copperglade.settings.Peer
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How ownership outlives an outage of the state service that is longer than a session lease. A member that the service has stopped
 * answering asks every other controller for an endorsement: not to grant its shards to anybody else for the next [ENDORSEMENT_LENGTH].
 * A controller endorses only while the service doesn't answer it either. With an endorsement from all of them, asked for while
 * the member's ownership was still intact, nobody can have granted or will grant its shards, whatever becomes of its session lease
 * in the state service meanwhile.
 *
 * Why that is enough: a grant needs that the owner's incarnation was seen to be gone. As long as the ownership is intact it has not
 * gone, so no grant against it can be in flight either, not even a late one. A controller that restarts forgets its endorsements,
 * hence grants no shards of others for one [ENDORSEMENT_LENGTH] after its start. Without the peer link there are no endorsements, and
 * the session lease alone decides.
 */
class LeaseEndorsement(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val store: StateClient,
    private val self: MemberId,
    private val peers: List<Peer>,
) {
    private val startedAt = loop.now()

    /** Until when each peer has endorsed us. */
    private val receivedUntil = HashMap<MemberId, MonotonicTime>()

    /** Until when we have endorsed each member. */
    private val givenUntil = HashMap<MemberId, MonotonicTime>()
    private val requestsInFlight = HashSet<MemberId>()

    /** Whether our ownership is intact up to now; else an endorsement would come too late to mean anything. */
    var ownershipIntact: () -> Boolean = { false }

    /** Until when all peers have endorsed us; [MonotonicTime.NEVER] where one hasn't, or there are none. */
    val endorsedUntil: MonotonicTime
        get() = peers.minOfOrNull { receivedUntil[it.member] ?: MonotonicTime.NEVER } ?: MonotonicTime.NEVER

    /** Asks all peers for endorsements at intervals, from now on, as long as the state service doesn't answer. */
    fun start() = loop.scheduleRepeating({ REQUEST_INTERVAL }) {
        if (store.isUnreachable() && ownershipIntact()) peers.filter { it.member !in requestsInFlight }.forEach(::request)
    }

    private fun request(peer: Peer) {
        val sentAt = loop.now()
        requestsInFlight += peer.member
        val request = Request(Method.POST, PeerMessageCodec.ENDORSEMENT_PATH, self.text.encodeToByteArray())
        http.call(peer.endpoint, request, REQUEST_TIMEOUT) { reply -> onReply(peer, sentAt, reply) }
    }

    private fun onReply(peer: Peer, sentAt: MonotonicTime, reply: Reply?) {
        requestsInFlight -= peer.member
        if (reply?.status != HttpStatus.OK || !ownershipIntact()) return
        receivedUntil[peer.member] = sentAt + ENDORSEMENT_LENGTH * (1.0 - SessionLease.CLOCK_DRIFT_ALLOWANCE) - EXPIRY_MARGIN
    }

    /** Whether we endorse [member]. After true, its shards are granted to nobody else for [ENDORSEMENT_LENGTH]. */
    fun endorse(member: MemberId): Boolean {
        if (!store.isUnreachable()) return false
        givenUntil[member] = loop.now() + ENDORSEMENT_LENGTH
        return true
    }

    /** Whether no endorsement forbids that shards of [owner] are granted to somebody else. */
    fun mayReassignShardsOf(owner: MemberId): Boolean {
        val now = loop.now()
        return now >= startedAt + ENDORSEMENT_LENGTH && now >= (givenUntil[owner] ?: MonotonicTime.NEVER)
    }

    private companion object {
        val ENDORSEMENT_LENGTH = 3.seconds
        val EXPIRY_MARGIN = 100.milliseconds
        val REQUEST_INTERVAL = 400.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
    }
}
