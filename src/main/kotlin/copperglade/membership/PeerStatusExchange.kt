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

/**
 * Sends this controller's status to its peers and keeps the latest of theirs. Where the leader can't be reached, because
 * controllers refuse each other, a member's free capacity goes to it through the state service: less of it, and less often.
 */
class PeerStatusExchange(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val store: StateClient,
    private val self: MemberId,
    private val peers: List<Peer>,
    private val machines: () -> Int,
    private val compose: () -> PeerStatus?,
    private val currentLeader: () -> MemberId?,
    private val heard: (PeerStatus) -> Unit,
) {
    private class Received(val status: PeerStatus, val at: MonotonicTime)

    private val latest = HashMap<MemberId, Received>()
    private val indirect = HashMap<MemberId, Received>()
    private val busy = HashSet<MemberId>()
    private val deliveredAt = HashMap<MemberId, MonotonicTime>()
    private var recordedAt = MonotonicTime.NEVER
    private var briefAt = MonotonicTime.NEVER

    fun start() = loop.again({ interval() }) { compose()?.let(::tell) }

    /** The more machines a status tells of, the rarer: five times the machines must not cost five times the processor. */
    private fun interval(): Duration = minOf(INTERVAL + INTERVAL_PER_MACHINE * machines(), MAX_INTERVAL)

    private fun tell(status: PeerStatus) {
        heard(status)
        val leader = currentLeader()
        // Only the leader works with the capacities; for hundreds of machines they are most of a status message.
        val brief = lazy { PeerMessageCodec.encodeStatus(status.withoutCapacity()) }
        val now = loop.now()
        val briefDue = now >= briefAt + BRIEF_INTERVAL
        if (briefDue) briefAt = now
        for (peer in peers) {
            if (peer.member in busy) continue
            if (peer.member == leader) {
                send(peer, PeerMessageCodec.encodeStatus(status))
            } else if (briefDue) {
                send(peer, brief.value)
            }
        }
        if (leader != null && leader != self) recordIfCutOff(leader, status)
    }

    private fun send(peer: Peer, body: ByteArray) {
        busy += peer.member
        http.call(peer.endpoint, Request(Method.POST, PeerMessageCodec.STATUS_PATH, body), TIMEOUT) { reply ->
            busy -= peer.member
            if (reply?.status == HttpStatus.OK) deliveredAt[peer.member] = loop.now()
        }
    }

    private fun recordIfCutOff(leader: MemberId, status: PeerStatus) {
        val now = loop.now()
        val reached = deliveredAt.getOrPut(leader) { now }
        if (now < reached + UNREACHED || now < recordedAt + RECORD_INTERVAL) return
        recordedAt = now
        val value = fittingValue(status) ?: return
        val write = Write.Set(Keys.memberCapacity(self), value)
        // A hint only, and of use only while it is new: no condition, and what comes late is told by its incarnation.
        store.commit(WritePriority.ASSIGNMENT, Transaction(emptyList(), listOf(write))) {}
    }

    /** As many machines of [status] as a value can hold; how much a machine takes is an estimate, so it is measured. */
    private fun fittingValue(status: PeerStatus): ByteArray? {
        var bytes = (store.limits.valueBytes * PART_OF_VALUE).toInt()
        repeat(MAX_SHORTENINGS) {
            val value = RecordCodec.encodePeerStatus(PeerMessageCodec.encodeStatus(status.truncatedTo(bytes)))
            if (value.size <= store.limits.valueBytes) return value
            bytes = (bytes * SHORTENING).toInt()
        }
        return null
    }

    fun receive(status: PeerStatus) {
        latest[status.member] = Received(status, loop.now())
        heard(status)
    }

    fun receiveIndirect(status: PeerStatus) {
        if (status.member != self) indirect[status.member] = Received(status, loop.now())
    }

    fun of(member: MemberId): PeerStatus? = latest[member]?.takeIf { loop.now() < it.at + FRESH }?.status

    /** What is known of a member's room, by whichever way; it may be only a part. */
    fun capacityStatusOf(member: MemberId): PeerStatus? =
        of(member) ?: indirect[member]?.takeIf { loop.now() < it.at + FRESH_INDIRECT }?.status

    companion object {
        private const val MAX_SHORTENINGS = 8
        private const val SHORTENING = 0.75

        /** Bytes become a third more in JSON. */
        private const val PART_OF_VALUE = 0.65
        private val INTERVAL = 150.milliseconds
        private val INTERVAL_PER_MACHINE = 1.milliseconds
        private val MAX_INTERVAL = 600.milliseconds

        /** What others than the leader are told changes slowly. */
        private val BRIEF_INTERVAL = 450.milliseconds
        private val TIMEOUT = 1.seconds
        private val FRESH = 2.seconds
        private val UNREACHED = 1500.milliseconds
        private val RECORD_INTERVAL = 1500.milliseconds
        private val FRESH_INDIRECT = 4.seconds
    }
}
