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

/** The source of the statuses that [PeerStatusExchange] sends. */
interface PeerStatusSource {
    /** The number of machines in the shards of this controller. */
    val machineCount: Int

    /** The leader according to the records; null if there is none. */
    val currentLeader: MemberId?

    /** This controller's present status; null while this controller is not a member. */
    fun compose(): PeerStatus?
}

/**
 * Sends this controller's status to its peers, and stores the latest status of each peer in [statuses]. While the leader is unreachable,
 * because controllers refuse each other's connections, this controller writes its free capacity to the state service, where the leader
 * reads it: fewer machines, and less often.
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
    private var capacityWrittenAt = MonotonicTime.NEVER
    private var followersSentAt = MonotonicTime.NEVER

    /** Called with each status of the leader, which may be this controller: the status contains the leader's requests to all members. */
    var onLeaderStatus: (PeerStatus) -> Unit = {}

    /** Starts the timer that sends the status. */
    fun start() = loop.scheduleRepeating({ interval() }) { source.compose()?.let(::broadcast) }

    /** The more machines a status describes, the less often it is sent, so that its cost grows more slowly than the fleet. */
    private fun interval(): Duration = minOf(BASE_INTERVAL + INTERVAL_PER_MACHINE * source.machineCount, MAX_INTERVAL)

    private fun broadcast(status: PeerStatus) {
        statuses.recordOwn(status)
        notifyIfLeader(status)
        val leader = source.currentLeader
        // Only the leader uses the capacities; with hundreds of machines they make up most of a status message.
        val withoutCapacities = lazy { PeerMessageCodec.encodeStatus(status.withoutCapacities()) }
        val now = loop.now()
        val followersDue = now >= followersSentAt + FOLLOWER_INTERVAL
        if (followersDue) followersSentAt = now
        for (peer in peers) {
            if (peer.member in requestsInFlight) continue
            if (peer.member == leader) {
                send(peer, PeerMessageCodec.encodeStatus(status))
            } else if (followersDue) {
                send(peer, withoutCapacities.value)
            }
        }
        if (leader != null && leader != self) writeCapacityIfLeaderUnreachable(leader, status)
    }

    private fun send(peer: Peer, body: ByteArray) {
        requestsInFlight += peer.member
        http.call(peer.endpoint, Request(Method.POST, PeerMessageCodec.STATUS_PATH, body), REQUEST_TIMEOUT) { reply ->
            requestsInFlight -= peer.member
            if (reply?.status == HttpStatus.OK) deliveredAt[peer.member] = loop.now()
        }
    }

    private fun writeCapacityIfLeaderUnreachable(leader: MemberId, status: PeerStatus) {
        val now = loop.now()
        val lastDeliveredAt = deliveredAt.getOrPut(leader) { now }
        if (now < lastDeliveredAt + LEADER_UNREACHABLE_AFTER || now < capacityWrittenAt + CAPACITY_WRITE_INTERVAL) return
        capacityWrittenAt = now
        val value = encodeWithinValueLimit(status) ?: return
        val write = Write.Set(Keys.peerStatus(self), value)
        // The record is only a hint and useful only while recent, so the write has no condition; the incarnation reveals a delayed write.
        store.commit(WritePriority.ASSIGNMENT, Transaction(emptyList(), listOf(write))) {}
    }

    /**
     * Encodes as many machines of [status] as fit into a stored value; null if even the smallest attempt is too large. The size of a
     * machine is an estimate, so each encoded value is measured.
     */
    private fun encodeWithinValueLimit(status: PeerStatus): ByteArray? {
        var targetBytes = (store.limits.valueBytes * INITIAL_TARGET_FRACTION).toInt()
        repeat(MAX_TRUNCATION_ATTEMPTS) {
            val value = RecordCodec.encodePeerStatus(PeerMessageCodec.encodeStatus(status.truncatedTo(targetBytes)))
            if (value.size <= store.limits.valueBytes) return value
            targetBytes = (targetBytes * TRUNCATION_FACTOR).toInt()
        }
        return null
    }

    /** Handles a [status] that a peer has sent. */
    fun receive(status: PeerStatus) {
        statuses.recordReceived(status)
        notifyIfLeader(status)
    }

    private fun notifyIfLeader(status: PeerStatus) {
        if (status.isLeader) onLeaderStatus(status)
    }

    private companion object {
        const val MAX_TRUNCATION_ATTEMPTS = 8
        const val TRUNCATION_FACTOR = 0.75

        /** The target size of the first attempt as a fraction of the value limit, since encoding as JSON text adds a third to the size. */
        const val INITIAL_TARGET_FRACTION = 0.65
        val BASE_INTERVAL = 150.milliseconds
        val INTERVAL_PER_MACHINE = 1.milliseconds
        val MAX_INTERVAL = 600.milliseconds

        /** The status without capacities, which peers other than the leader receive, changes slowly. */
        val FOLLOWER_INTERVAL = 450.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
        val LEADER_UNREACHABLE_AFTER = 1500.milliseconds
        val CAPACITY_WRITE_INTERVAL = 1500.milliseconds
    }
}
