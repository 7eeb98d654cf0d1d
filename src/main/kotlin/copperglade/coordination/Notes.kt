package copperglade.coordination

import copperglade.protocol.BlockName
import copperglade.protocol.MachineName
import copperglade.protocol.MachineRoom
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Peer
import copperglade.protocol.PeerNote
import copperglade.protocol.PeerWire
import copperglade.protocol.Resources
import copperglade.protocol.Stamp
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import copperglade.transport.HttpCaller
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends this controller's note to its peers and keeps the latest of theirs. */
class Notes(
    private val loop: EventLoop,
    private val http: HttpCaller,
    private val peers: List<Peer>,
    private val compose: () -> PeerNote?,
    private val heard: (PeerNote) -> Unit,
) {
    private class Received(val note: PeerNote, val at: Moment)

    private val latest = HashMap<MemberId, Received>()
    private val busy = HashSet<MemberId>()

    fun start() {
        compose()?.let { note ->
            val body = PeerWire.encode(note)
            heard(note)
            peers.filter { it.member !in busy }.forEach { send(it, body) }
        }
        loop.after(PACE) { start() }
    }

    private fun send(peer: Peer, body: ByteArray) {
        busy += peer.member
        http.call(peer.endpoint, Request(Method.POST, PeerWire.PATH, body), TIMEOUT) { busy -= peer.member }
    }

    fun receive(note: PeerNote) {
        latest[note.member] = Received(note, loop.now())
        heard(note)
    }

    fun of(member: MemberId): PeerNote? = latest[member]?.takeIf { loop.now() < it.at + FRESH }?.note

    companion object {
        private val PACE = 150.milliseconds
        private val TIMEOUT = 1.seconds
        private val FRESH = 2.seconds
    }
}

/** Room that the lead counts on, less what it has given out since the owner said so. */
class RoomBook(private val replica: Replica, private val blockMap: BlockMap) {
    private class Given(val block: BlockName, val machine: MachineName, val stamp: Stamp, val request: Resources)

    class Room(val block: BlockName, val machine: MachineRoom, var free: Resources, val yielding: Array<Resources>) {
        /** Kept for a task that doesn't fit yet: small ones must not take every piece of room that comes free. */
        var kept = false
    }

    private val given = ArrayList<Given>()

    /** The rooms of all blocks whose owners have been heard lately. */
    fun rooms(noteOf: (MemberId) -> PeerNote?): List<Room> {
        val rooms = ArrayList<Room>()
        for (block in blockMap.all) {
            val record = replica.blocks[block] ?: continue
            val note = noteOf(record.value.member)?.takeIf { it.incarnation == record.value.incarnation } ?: continue
            val room =
                note.blocks.firstOrNull { it.block == block && it.baton.number == record.stamp.number } ?: continue
            given.removeIf { it.block == block && it.stamp <= note.cursor }
            for (machine in room.machines) {
                val free = given
                    .filter { it.block == block && it.machine == machine.name }
                    .fold(machine.free) { left, gift -> left - gift.request }
                rooms += Room(block, machine, free, machine.yielding.toTypedArray())
            }
        }
        return rooms
    }

    fun gave(room: Room, stamp: Stamp, request: Resources) {
        given += Given(room.block, room.machine.name, stamp, request)
    }
}
