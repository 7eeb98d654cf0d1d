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
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How short session leases outlive an outage of the state service. A member that the service has stopped answering asks
 * every other controller for an endorsement: not to grant its shards away for the next [ENDORSEMENT_LENGTH]. A
 * controller endorses only while the service is silent to itself as well. With an endorsement from all of them, asked
 * for while the member's right was still intact, nobody can have granted or will grant its shards, whatever the service
 * does with its session lease meanwhile.
 *
 * Why that is enough: a grant needs that the holder's incarnation was seen to be gone. As long as the right is intact
 * it has not gone, so no grant against it can be on its way either, not even a late one. A controller that restarts
 * forgets its endorsements, hence grants nothing of others for one [ENDORSEMENT_LENGTH] after its start. Without the
 * peer link there are no endorsements, and the session lease alone decides.
 */
class LeaseEndorsement(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val store: StateClient,
    private val self: MemberId,
    private val peers: List<Peer>,
) {
    private val startedAt = loop.now()
    private val endorsedBy = HashMap<MemberId, MonotonicTime>()
    private val endorsedMembers = HashMap<MemberId, MonotonicTime>()
    private val asking = HashSet<MemberId>()

    /** Whether our right was intact up to now; else an endorsement would come too late to mean anything. */
    var intact: () -> Boolean = { false }

    /** Until when all others have endorsed our shards. */
    val endorsedUntil: MonotonicTime
        get() = peers.minOfOrNull { endorsedBy[it.member]?.ms ?: MonotonicTime.NEVER.ms }?.let { MonotonicTime(it) } ?: MonotonicTime.NEVER

    fun start() = loop.again({ INTERVAL }) {
        if (store.isUnreachable() && intact()) peers.filter { it.member !in asking }.forEach(::ask)
    }

    private fun ask(peer: Peer) {
        val sent = loop.now()
        asking += peer.member
        val request = Request(Method.POST, PeerMessageCodec.ENDORSEMENT_PATH, self.text.encodeToByteArray())
        http.call(peer.endpoint, request, TIMEOUT) { reply ->
            asking -= peer.member
            if (reply?.status == HttpStatus.OK &&
                intact()
            ) {
                endorsedBy[peer.member] = sent + ENDORSEMENT_LENGTH * (1.0 - SessionLease.DRIFT) - MARGIN
            }
        }
    }

    /** Whether we endorse [member]; if so, we keep to it. */
    fun endorse(member: MemberId): Boolean {
        if (!store.isUnreachable()) return false
        endorsedMembers[member] = loop.now() + ENDORSEMENT_LENGTH
        return true
    }

    /** Whether shards of [holder] may be granted to somebody else. */
    fun mayGrantAway(holder: MemberId): Boolean {
        val now = loop.now()
        return now >= startedAt + ENDORSEMENT_LENGTH && now >= (endorsedMembers[holder] ?: MonotonicTime.NEVER)
    }

    private companion object {
        val ENDORSEMENT_LENGTH = 3.seconds
        val MARGIN = 100.milliseconds
        val INTERVAL = 400.milliseconds
        val TIMEOUT = 1.seconds
    }
}
