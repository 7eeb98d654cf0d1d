package copperglade.protocol

import okio.Buffer

/**
 * The binary messages between controllers. Each message begins with its version; a message of another version, or a truncated message,
 * decodes to null.
 */
object PeerMessageCodec {
    /** Body: a status. */
    const val STATUS_PATH = "/note"

    /** Body: the name of the member that asks to be endorsed. */
    const val ENDORSEMENT_PATH = "/vouch"

    /**
     * Body: cancellations that have just become durable. Controllers of versions without this path answer 404, and observe the
     * cancellations when they read the state service.
     */
    const val CANCELLATIONS_PATH = "/cancelled"
    private const val STATUS_VERSION = 2
    private const val CANCELLATIONS_VERSION = 1
    private const val MAX_LENGTH = 100_000

    // Versions that don't know machines on trial take any code but [UNUSABLE_CODE] for a usable machine.
    private const val UNUSABLE_CODE = 0
    private const val USABLE_CODE = 1
    private const val ON_TRIAL_CODE = 2

    /** Encodes a status for [decodeStatus]. */
    fun encodeStatus(status: PeerStatus): ByteArray {
        val out = Buffer()
        out.writeByte(STATUS_VERSION)
        out.writeText(status.member.text)
        out.writeLong(status.incarnation.number)
        out.writeLong(status.knownRevision.number)
        out.writeLong(status.stateServiceAnswerAgeMillis)
        out.writeFlag(status.isLeader)
        // Many machines share types, zones and images: each string is written once, ahead of the shards, and then by its index.
        val strings = StringTable()
        val shards = Buffer()
        shards.writeItems(status.shards) { shard ->
            writeText(shard.shard.text)
            writeLong(shard.fencingToken.number)
            writeItems(shard.machines) { writeMachine(it, strings) }
        }
        out.writeItems(strings.inOrder) { writeText(it) }
        out.writeAll(shards)
        out.writeItems(status.shardsToRelease) { writeText(it.text) }
        out.writeItems(status.machinesToRetire) { writeText(it.text) }
        out.writeLong(status.desiredWritesPerSecond.toRawBits())
        return out.readByteArray()
    }

    /** Decodes a status; returns null where [bytes] are not a status of this version. */
    fun decodeStatus(bytes: ByteArray): PeerStatus? = decodeOrNull {
        val source = Buffer().write(bytes)
        if (source.readByte().toInt() == STATUS_VERSION) readStatus(source) else null
    }

    private fun readStatus(source: Buffer) = PeerStatus(
        member = MemberId(source.readText()),
        incarnation = Incarnation(source.readLong()),
        knownRevision = Revision(source.readLong()),
        stateServiceAnswerAgeMillis = source.readLong(),
        isLeader = source.readFlag(),
        shards = readShards(source),
        shardsToRelease = source.readItems { ShardName(readText()) },
        machinesToRetire = source.readItems { MachineName(readText()) },
        desiredWritesPerSecond = Double.fromBits(source.readLong()),
    )

    private fun readShards(source: Buffer): List<ShardCapacity> {
        val strings = source.readItems { readText() }
        return source.readItems {
            ShardCapacity(ShardName(readText()), FencingToken(readLong()), readItems { readMachine(strings) })
        }
    }

    /** Encodes cancellations for [decodeCancellations]. */
    fun encodeCancellations(cancellations: List<Cancellation>): ByteArray {
        val out = Buffer()
        out.writeByte(CANCELLATIONS_VERSION)
        out.writeItems(cancellations) {
            writeText(it.job.text)
            writeLong(it.revision.number)
        }
        return out.readByteArray()
    }

    /** Decodes cancellations; returns null where [bytes] are not cancellations of this version. */
    fun decodeCancellations(bytes: ByteArray): List<Cancellation>? = decodeOrNull {
        val source = Buffer().write(bytes)
        require(source.readByte().toInt() == CANCELLATIONS_VERSION)
        source.readItems { Cancellation(requireNotNull(JobId.parse(readText())), Revision(readLong())) }
    }

    /** Returns the result of [decode], or null where the message is malformed. */
    private fun <T : Any> decodeOrNull(decode: () -> T?): T? = Decoding.orNull("peer_message", decode)

    /** Assigns an index to each string of a message, in order of first use. */
    private class StringTable {
        private val indices = LinkedHashMap<String, Int>()
        val inOrder: List<String> get() = indices.keys.toList()

        fun indexOf(string: String): Int = indices.getOrPut(string) { indices.size }
    }

    private fun Buffer.writeMachine(machine: MachineAvailability, strings: StringTable) {
        writeText(machine.name.text)
        writeInt(strings.indexOf(machine.type))
        writeInt(strings.indexOf(machine.zone))
        writeFlag(machine.spot)
        writeByte(placementCode(machine))
        writeFlag(machine.worthKeeping)
        writeLong(machine.idleMillis)
        writeResources(machine.free)
        writeItems(machine.preemptible) {
            writeFlag(it != Resources.ZERO)
            if (it != Resources.ZERO) writeResources(it)
        }
        writeItems(machine.images) { writeInt(strings.indexOf(it.text)) }
    }

    private fun placementCode(machine: MachineAvailability): Int = when {
        machine.usable -> USABLE_CODE
        machine.onTrial -> ON_TRIAL_CODE
        else -> UNUSABLE_CODE
    }

    private fun Buffer.readMachine(strings: List<String>): MachineAvailability {
        fun readString(): String = strings.getOrNull(readInt()) ?: throw IllegalArgumentException("string index out of range")
        val name = MachineName(readText())
        val type = readString()
        val zone = readString()
        val spot = readFlag()
        val placementCode = readByte().toInt()
        return MachineAvailability(
            name = name,
            type = type,
            zone = zone,
            spot = spot,
            usable = placementCode != UNUSABLE_CODE && placementCode != ON_TRIAL_CODE,
            onTrial = placementCode == ON_TRIAL_CODE,
            worthKeeping = readFlag(),
            idleMillis = readLong(),
            free = readResources(),
            preemptible = readItems { if (readFlag()) readResources() else Resources.ZERO },
            images = readItems { ImageName(readString()) },
        )
    }

    private fun Buffer.writeResources(value: Resources) {
        writeLong(value.cpus.toRawBits())
        writeLong(value.gpus.toRawBits())
        writeLong(value.memoryGb.toRawBits())
    }

    private fun Buffer.readResources() =
        Resources(Double.fromBits(readLong()), Double.fromBits(readLong()), Double.fromBits(readLong()))

    private fun Buffer.writeText(value: String) {
        val bytes = value.encodeToByteArray()
        writeInt(bytes.size)
        write(bytes)
    }

    private fun Buffer.readText(): String {
        val size = readInt()
        require(size in 0..MAX_LENGTH)
        return readUtf8(size.toLong())
    }

    private fun Buffer.writeFlag(value: Boolean) = writeByte(if (value) 1 else 0)

    private fun Buffer.readFlag(): Boolean = readByte().toInt() != 0

    private fun <T> Buffer.writeItems(items: List<T>, write: Buffer.(T) -> Unit) {
        writeInt(items.size)
        items.forEach { write(it) }
    }

    private fun <T> Buffer.readItems(read: Buffer.() -> T): List<T> {
        val size = readInt()
        require(size in 0..MAX_LENGTH)
        return List(size) { read() }
    }
}
