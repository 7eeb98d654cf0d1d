package copperglade.membership

import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.settings.Peer
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Where [PeerStatusExchange] gets what it sends. */
interface PeerStatusSource {
    val machineCount: Int

    /** The member that the records name as the leader. */
    val currentLeader: MemberId?

    /** This controller's status at present, or null while it is no member. */
    fun compose(): PeerStatus?
}

/**
 * Sends this controller's status to its peers, and keeps the latest of theirs in [statuses]. Where the leader can't be reached, because
 * controllers refuse each other, a member's free capacity goes to it through the state service: less of it, and less often.
 */
class PeerStatusExchange(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val store: StateClient,
    private val self: MemberId,
    private val peers: List<Peer>,
    private val statuses: PeerStatusTable,
    private val source: PeerStatusSource,
) {
    private val requestsInFlight = HashSet<MemberId>()
    private val deliveredAt = HashMap<MemberId, MonotonicTime>()
    private var recordedAt = MonotonicTime.NEVER
    private var followersToldAt = MonotonicTime.NEVER

    /** Called with each status of the leader, whoever that is: it holds the leader's requests to all members. */
    var onLeaderStatus: (PeerStatus) -> Unit = {}

    /** Sends the status at intervals, from now on. */
    fun start() = loop.scheduleRepeating({ interval() }) { source.compose()?.let(::broadcast) }

    /** The more machines a status describes, the rarer it is sent, so that its cost grows less than the fleet does. */
    private fun interval(): Duration = minOf(INTERVAL + INTERVAL_PER_MACHINE * source.machineCount, MAX_INTERVAL)

    private fun broadcast(status: PeerStatus) {
        statuses.recordOwn(status)
        notifyIfLeader(status)
        val leader = source.currentLeader
        // Only the leader works with the capacities; for hundreds of machines they are most of a status message.
        val withoutCapacities = lazy { PeerMessageCodec.encodeStatus(status.withoutCapacities()) }
        val now = loop.now()
        val followersDue = now >= followersToldAt + FOLLOWER_INTERVAL
        if (followersDue) followersToldAt = now
        for (peer in peers) {
            if (peer.member in requestsInFlight) continue
            if (peer.member == leader) {
                send(peer, PeerMessageCodec.encodeStatus(status))
            } else if (followersDue) {
                send(peer, withoutCapacities.value)
            }
        }
        if (leader != null && leader != self) recordIfLeaderUnreachable(leader, status)
    }

    private fun send(peer: Peer, body: ByteArray) {
        requestsInFlight += peer.member
        http.call(peer.endpoint, Request(Method.POST, PeerMessageCodec.STATUS_PATH, body), REQUEST_TIMEOUT) { reply ->
            requestsInFlight -= peer.member
            if (reply?.status == HttpStatus.OK) deliveredAt[peer.member] = loop.now()
        }
    }

    private fun recordIfLeaderUnreachable(leader: MemberId, status: PeerStatus) {
        val now = loop.now()
        val lastDelivery = deliveredAt.getOrPut(leader) { now }
        if (now < lastDelivery + UNREACHABLE_AFTER || now < recordedAt + RECORD_INTERVAL) return
        recordedAt = now
        val value = encodeWithinValueLimit(status) ?: return
        val write = Write.Set(Keys.peerStatus(self), value)
        // A hint only, and of use only while it is new: no condition, and a late one is recognized by its incarnation.
        store.commit(WritePriority.ASSIGNMENT, Transaction(emptyList(), listOf(write))) {}
    }

    /** As many machines of [status] as a value can hold; the bytes a machine takes are an estimate, so the result is measured. */
    private fun encodeWithinValueLimit(status: PeerStatus): ByteArray? {
        var targetBytes = (store.limits.valueBytes * JSON_OVERHEAD_FACTOR).toInt()
        repeat(MAX_TRUNCATIONS) {
            val value = RecordCodec.encodePeerStatus(PeerMessageCodec.encodeStatus(status.truncatedTo(targetBytes)))
            if (value.size <= store.limits.valueBytes) return value
            targetBytes = (targetBytes * TRUNCATION_FACTOR).toInt()
        }
        return null
    }

    /** Takes a [status] that a peer has sent. */
    fun receive(status: PeerStatus) {
        statuses.recordReceived(status)
        notifyIfLeader(status)
    }

    private fun notifyIfLeader(status: PeerStatus) {
        if (status.isLeader) onLeaderStatus(status)
    }

    private companion object {
        const val MAX_TRUNCATIONS = 8
        const val TRUNCATION_FACTOR = 0.75

        /** Bytes become a third more in JSON. */
        const val JSON_OVERHEAD_FACTOR = 0.65
        val INTERVAL = 150.milliseconds
        val INTERVAL_PER_MACHINE = 1.milliseconds
        val MAX_INTERVAL = 600.milliseconds

        /** What peers other than the leader are sent changes slowly. */
        val FOLLOWER_INTERVAL = 450.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
        val UNREACHABLE_AFTER = 1500.milliseconds
        val RECORD_INTERVAL = 1500.milliseconds
    }
}
