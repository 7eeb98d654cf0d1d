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
 * Preserves shard ownership during an outage of the state service that is longer than a session lease.
 *
 * A member that the state service doesn't answer requests an endorsement from every other controller: a promise not to grant the
 * member's shards to another controller for the next [ENDORSEMENT_LENGTH]. A controller endorses only while the state service doesn't
 * answer it either. Once all peers have endorsed, on requests sent while the member's ownership was still intact, no controller can have
 * granted the member's shards or will grant them, even if the member's session lease expires in the state service meanwhile.
 *
 * Why endorsements suffice: a shard is granted only after the leader has observed that the owner's incarnation is no longer registered.
 * While the ownership is intact the incarnation is registered, so no grant against the owner can be in flight, not even a delayed one.
 * Endorsements are not persisted, so a restarted controller grants no shards of other controllers for one [ENDORSEMENT_LENGTH] after its
 * start. Where peers are unreachable there are no endorsements, and the session lease alone decides.
 */
class LeaseEndorsement(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val store: StateClient,
    private val self: MemberId,
    private val peers: List<Peer>,
) {
    private val startedAt = loop.now()

    /** The end of the endorsement that each peer has given to this process. */
    private val receivedUntil = HashMap<MemberId, MonotonicTime>()

    /** The end of the endorsement that this process has given to each member. */
    private val givenUntil = HashMap<MemberId, MonotonicTime>()
    private val requestsInFlight = HashSet<MemberId>()

    /** Whether this process's ownership has been intact until now; otherwise an endorsement comes too late to have any effect. */
    var ownershipIntact: () -> Boolean = { false }

    /** Until when all peers have endorsed this process; [MonotonicTime.NEVER] if a peer has not, or if there are no peers. */
    val endorsedUntil: MonotonicTime
        get() = peers.minOfOrNull { receivedUntil[it.member] ?: MonotonicTime.NEVER } ?: MonotonicTime.NEVER

    /** Starts the timer that requests endorsements from all peers while the state service is unreachable. */
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

    /**
     * Endorses [member] if the state service is unreachable from this process, and returns whether it did. If true, this process doesn't
     * grant the member's shards to another controller for [ENDORSEMENT_LENGTH].
     */
    fun endorse(member: MemberId): Boolean {
        if (!store.isUnreachable()) return false
        givenUntil[member] = loop.now() + ENDORSEMENT_LENGTH
        return true
    }

    /** Whether the endorsements that this process may have given permit granting shards of [owner] to another controller. */
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
