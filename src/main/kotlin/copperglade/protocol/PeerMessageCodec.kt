package copperglade.protocol

import okio.Buffer

/** The room on one machine, as its shard's owner sees it. */
class MachineAvailability(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** False where nothing new should be started, such as on a machine about to be taken back. */
    val usable: Boolean,
    /** False where it had better be replaced. */
    val worthKeeping: Boolean,
    val idleMillis: Long,
    val free: Resources,
    /** What could be had by stopping work, by the priority of that work. */
    val preemptible: List<Resources>,
    val images: List<ImageName>,
) {
    fun withoutImages() = MachineAvailability(name, type, zone, spot, usable, worthKeeping, idleMillis, free, preemptible, emptyList())
}

class ShardCapacity(val shard: ShardName, val fencingToken: FencingToken, val machines: List<MachineAvailability>)

/**
 * What a controller tells the others several times a second. Only hints: whoever acts on one checks it against the
 * state service, and whoever gets none goes without.
 */
class PeerStatus(
    val member: MemberId,
    val incarnation: Incarnation,
    /** Everything up to this revision of the state service is in the status. */
    val knownRevision: Revision,
    val stateSilentMillis: Long,
    val isLeader: Boolean,
    val shards: List<ShardCapacity>,
    /** From the leader: shards that it would rather see with another owner. */
    val release: List<ShardName>,
    /** From the leader: machines that are no longer needed. */
    val retire: List<MachineName>,
    /** Changes a second that this controller would like to make in the state service. */
    val desiredWritesPerSecond: Double,
) {
    /** The machines with most room, without their images, as many as fit into about [bytes]. */
    fun truncatedTo(bytes: Int): PeerStatus {
        val most = (bytes - BYTES_BESIDE) / BYTES_PER_MACHINE
        val chosen = shards
            .flatMap { it.machines }
            .filter { it.usable && it.free.cpus > 0.0 }
            .sortedByDescending { it.free.cpus }
            .take(most.coerceAtLeast(0))
            .toSet()
        val left = shards.map { shard ->
            ShardCapacity(shard.shard, shard.fencingToken, shard.machines.filter { it in chosen }.map { it.withoutImages() })
        }
        return PeerStatus(
            member,
            incarnation,
            knownRevision,
            stateSilentMillis,
            isLeader,
            left,
            emptyList(),
            emptyList(),
            desiredWritesPerSecond,
        )
    }

    fun withoutCapacities() = PeerStatus(
        member,
        incarnation,
        knownRevision,
        stateSilentMillis,
        isLeader,
        emptyList(),
        release,
        retire,
        desiredWritesPerSecond,
    )

    private companion object {
        const val BYTES_BESIDE = 400
        const val BYTES_PER_MACHINE = 100
    }
}

/** That a job's cancelled mark was written, with [revision]. */
class Cancellation(val job: JobId, val revision: Revision)

/** Messages between controllers in binary, through Okio buffers. */
object PeerMessageCodec {
    const val STATUS_PATH = "/note"

    /** Body: the name of the member that asks to be endorsed. */
    const val ENDORSEMENT_PATH = "/vouch"

    /** Body: cancellations that have just been written down. A version that does not know it answers 404, and reads them itself. */
    const val CANCELLATIONS_PATH = "/cancelled"
    private const val VERSION = 2
    private const val CANCELLED_VERSION = 1
    private const val MAX_ITEMS = 100_000

    fun encodeStatus(status: PeerStatus): ByteArray {
        val out = Buffer()
        out.writeByte(VERSION)
        out.text(status.member.text)
        out.writeLong(status.incarnation.number)
        out.writeLong(status.knownRevision.number)
        out.writeLong(status.stateSilentMillis)
        out.flag(status.isLeader)
        // Types, zones and images recur on hundreds of machines: they are written once and then by number.
        val words = Words()
        val rooms = Buffer()
        rooms.items(status.shards) { shard ->
            text(shard.shard.text)
            writeLong(shard.fencingToken.number)
            items(shard.machines) { machine(it, words) }
        }
        out.items(words.all) { text(it) }
        out.writeAll(rooms)
        out.items(status.release) { text(it.text) }
        out.items(status.retire) { text(it.text) }
        out.writeLong(status.desiredWritesPerSecond.toRawBits())
        return out.readByteArray()
    }

    /** The status, or null where the bytes are not one of this version. */
    fun decodeStatus(bytes: ByteArray): PeerStatus? = reading {
        val source = Buffer().write(bytes)
        if (source.readByte().toInt() != VERSION) {
            null
        } else {
            var words = emptyList<String>()
            PeerStatus(
                member = MemberId(source.text()),
                incarnation = Incarnation(source.readLong()),
                knownRevision = Revision(source.readLong()),
                stateSilentMillis = source.readLong(),
                isLeader = source.flag(),
                shards = source.let {
                    words = it.items { text() }
                    it.items { ShardCapacity(ShardName(text()), FencingToken(readLong()), items { machine(words) }) }
                },
                release = source.items { ShardName(text()) },
                retire = source.items { MachineName(text()) },
                desiredWritesPerSecond = Double.fromBits(source.readLong()),
            )
        }
    }

    fun encodeCancellations(cancellations: List<Cancellation>): ByteArray {
        val out = Buffer()
        out.writeByte(CANCELLED_VERSION)
        out.items(cancellations) {
            text(it.job.text)
            writeLong(it.revision.number)
        }
        return out.readByteArray()
    }

    /** The cancellations, or null where the bytes are not of this version. */
    fun decodeCancellations(bytes: ByteArray): List<Cancellation>? = reading {
        val source = Buffer().write(bytes)
        require(source.readByte().toInt() == CANCELLED_VERSION)
        source.items { Cancellation(requireNotNull(JobId.parse(text())), Revision(readLong())) }
    }

    /** What [read] makes of a message, or null where it is no such message. */
    private fun <T : Any> reading(read: () -> T?): T? = Decoding.orNull("peer message", read)

    /** Words by number, in order of their first use. */
    private class Words {
        private val numbers = LinkedHashMap<String, Int>()
        val all: List<String> get() = numbers.keys.toList()

        fun number(word: String): Int = numbers.getOrPut(word) { numbers.size }
    }

    private fun Buffer.machine(room: MachineAvailability, words: Words) {
        text(room.name.text)
        writeInt(words.number(room.type))
        writeInt(words.number(room.zone))
        flag(room.spot)
        flag(room.usable)
        flag(room.worthKeeping)
        writeLong(room.idleMillis)
        resources(room.free)
        items(room.preemptible) {
            flag(it != Resources.ZERO)
            if (it != Resources.ZERO) resources(it)
        }
        items(room.images) { writeInt(words.number(it.text)) }
    }

    private fun Buffer.machine(words: List<String>): MachineAvailability {
        fun word(): String = words.getOrNull(readInt()) ?: throw IllegalArgumentException("no such word")
        return MachineAvailability(
            name = MachineName(text()),
            type = word(),
            zone = word(),
            spot = flag(),
            usable = flag(),
            worthKeeping = flag(),
            idleMillis = readLong(),
            free = resources(),
            preemptible = items { if (flag()) resources() else Resources.ZERO },
            images = items { ImageName(word()) },
        )
    }

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
        require(size in 0..MAX_ITEMS)
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
        require(size in 0..MAX_ITEMS)
        return List(size) { read() }
    }
}
