package copperglade.protocol

import okio.Buffer
import okio.EOFException

/** The room on one machine, as its block's owner sees it. */
class MachineRoom(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** False where nothing new should be started, such as on a machine about to be taken back. */
    val usable: Boolean,
    val idleMs: Long,
    val free: Resources,
    /** What could be had by stopping work, by the priority of that work. */
    val yielding: List<Resources>,
    val images: List<ImageName>,
)

class BlockRoom(val block: BlockName, val baton: Baton, val machines: List<MachineRoom>)

/**
 * What a controller tells the others several times a second. Only hints: whoever acts on one checks it against the
 * state service, and whoever gets none goes without.
 */
class PeerNote(
    val member: MemberId,
    val incarnation: Incarnation,
    /** Everything up to this revision of the state service is in the note. */
    val cursor: Stamp,
    val stateSilentMs: Long,
    val leads: Boolean,
    val blocks: List<BlockRoom>,
    /** From the lead: blocks that it would rather see with another owner. */
    val release: List<BlockName>,
    /** From the lead: machines that are no longer needed. */
    val retire: List<MachineName>,
)

/** Notes in binary, through Okio buffers. */
object PeerWire {
    const val PATH = "/note"

    /** Body: the name of the member that asks to be vouched for. */
    const val VOUCH_PATH = "/vouch"
    private const val VERSION = 1
    private const val MOST_ITEMS = 100_000

    fun encode(note: PeerNote): ByteArray {
        val out = Buffer()
        out.writeByte(VERSION)
        out.text(note.member.text)
        out.writeLong(note.incarnation.number)
        out.writeLong(note.cursor.number)
        out.writeLong(note.stateSilentMs)
        out.flag(note.leads)
        out.items(note.blocks) { block ->
            text(block.block.text)
            writeLong(block.baton.number)
            items(block.machines) { machine(it) }
        }
        out.items(note.release) { text(it.text) }
        out.items(note.retire) { text(it.text) }
        return out.readByteArray()
    }

    /** The note, or null where the bytes are not one of this version. */
    fun decode(bytes: ByteArray): PeerNote? = try {
        val source = Buffer().write(bytes)
        if (source.readByte().toInt() != VERSION) {
            null
        } else {
            PeerNote(
                member = MemberId(source.text()),
                incarnation = Incarnation(source.readLong()),
                cursor = Stamp(source.readLong()),
                stateSilentMs = source.readLong(),
                leads = source.flag(),
                blocks = source.items {
                    BlockRoom(BlockName(text()), Baton(readLong()), items { machine() })
                },
                release = source.items { BlockName(text()) },
                retire = source.items { MachineName(text()) },
            )
        }
    } catch (_: EOFException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun Buffer.machine(room: MachineRoom) {
        text(room.name.text)
        text(room.type)
        text(room.zone)
        flag(room.spot)
        flag(room.usable)
        writeLong(room.idleMs)
        resources(room.free)
        items(room.yielding) { resources(it) }
        items(room.images) { text(it.text) }
    }

    private fun Buffer.machine() = MachineRoom(
        name = MachineName(text()),
        type = text(),
        zone = text(),
        spot = flag(),
        usable = flag(),
        idleMs = readLong(),
        free = resources(),
        yielding = items { resources() },
        images = items { ImageName(text()) },
    )

    private fun Buffer.resources(value: Resources) {
        writeLong(value.cpus.toRawBits())
        writeLong(value.gpus.toRawBits())
        writeLong(value.memoryGb.toRawBits())
    }

    private fun Buffer.resources() =
        Resources(Double.fromBits(readLong()), Double.fromBits(readLong()), Double.fromBits(readLong()))

    private fun Buffer.text(value: String) {
        val bytes = value.encodeToByteArray()
        writeInt(bytes.size)
        write(bytes)
    }

    private fun Buffer.text(): String {
        val size = readInt()
        require(size in 0..MOST_ITEMS)
        return readUtf8(size.toLong())
    }

    private fun Buffer.flag(value: Boolean) = writeByte(if (value) 1 else 0)

    private fun Buffer.flag(): Boolean = readByte().toInt() != 0

    private fun <T> Buffer.items(items: List<T>, write: Buffer.(T) -> Unit) {
        writeInt(items.size)
        items.forEach { write(it) }
    }

    private fun <T> Buffer.items(read: Buffer.() -> T): List<T> {
        val size = readInt()
        require(size in 0..MOST_ITEMS)
        return List(size) { read() }
    }
}
