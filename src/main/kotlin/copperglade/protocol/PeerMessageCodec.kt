package copperglade.protocol

import okio.Buffer

/**
 * Messages between controllers, in binary. Each begins with its version; a message of another version, or one that is cut off, decodes to null.
 */
object PeerMessageCodec {
    /** Body: a status. */
    const val STATUS_PATH = "/note"

    /** Body: the name of the member that asks to be endorsed. */
    const val ENDORSEMENT_PATH = "/vouch"

    /** Body: cancellations that have just become durable. Versions that don't know the path answer 404, and learn of them by reading. */
    const val CANCELLATIONS_PATH = "/cancelled"
    private const val STATUS_VERSION = 2
    private const val CANCELLATIONS_VERSION = 1
    private const val MAX_LENGTH = 100_000

    /** The bytes of a status, as [decodeStatus] reads them. */
    fun encodeStatus(status: PeerStatus): ByteArray {
        val out = Buffer()
        out.writeByte(STATUS_VERSION)
        out.text(status.member.text)
        out.writeLong(status.incarnation.number)
        out.writeLong(status.knownRevision.number)
        out.writeLong(status.stateSilentMillis)
        out.flag(status.isLeader)
        // Types, zones and images recur on hundreds of machines: they are written once and then by number.
        val words = WordTable()
        val capacities = Buffer()
        capacities.items(status.shards) { shard ->
            text(shard.shard.text)
            writeLong(shard.fencingToken.number)
            items(shard.machines) { machine(it, words) }
        }
        out.items(words.inOrder) { text(it) }
        out.writeAll(capacities)
        out.items(status.shardsToRelease) { text(it.text) }
        out.items(status.machinesToRetire) { text(it.text) }
        out.writeLong(status.desiredWritesPerSecond.toRawBits())
        return out.readByteArray()
    }

    /** The status, or null where the bytes are not one of this version. */
    fun decodeStatus(bytes: ByteArray): PeerStatus? = decoding {
        val source = Buffer().write(bytes)
        if (source.readByte().toInt() != STATUS_VERSION) {
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
                shardsToRelease = source.items { ShardName(text()) },
                machinesToRetire = source.items { MachineName(text()) },
                desiredWritesPerSecond = Double.fromBits(source.readLong()),
            )
        }
    }

    /** The bytes of cancellations, as [decodeCancellations] reads them. */
    fun encodeCancellations(cancellations: List<Cancellation>): ByteArray {
        val out = Buffer()
        out.writeByte(CANCELLATIONS_VERSION)
        out.items(cancellations) {
            text(it.job.text)
            writeLong(it.revision.number)
        }
        return out.readByteArray()
    }

    /** The cancellations, or null where the bytes are not of this version. */
    fun decodeCancellations(bytes: ByteArray): List<Cancellation>? = decoding {
        val source = Buffer().write(bytes)
        require(source.readByte().toInt() == CANCELLATIONS_VERSION)
        source.items { Cancellation(requireNotNull(JobId.parse(text())), Revision(readLong())) }
    }

    /** What [decode] makes of a message, or null where it is no such message. */
    private fun <T : Any> decoding(decode: () -> T?): T? = Decoding.orNull("peer_message", decode)

    /** Words by number, in order of their first use. */
    private class WordTable {
        private val numbers = LinkedHashMap<String, Int>()
        val inOrder: List<String> get() = numbers.keys.toList()

        fun number(word: String): Int = numbers.getOrPut(word) { numbers.size }
    }

    private fun Buffer.machine(machine: MachineAvailability, words: WordTable) {
        text(machine.name.text)
        writeInt(words.number(machine.type))
        writeInt(words.number(machine.zone))
        flag(machine.spot)
        flag(machine.usable)
        flag(machine.worthKeeping)
        writeLong(machine.idleMillis)
        resources(machine.free)
        items(machine.preemptible) {
            flag(it != Resources.ZERO)
            if (it != Resources.ZERO) resources(it)
        }
        items(machine.images) { writeInt(words.number(it.text)) }
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
        require(size in 0..MAX_LENGTH)
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
        require(size in 0..MAX_LENGTH)
        return List(size) { read() }
    }
}
