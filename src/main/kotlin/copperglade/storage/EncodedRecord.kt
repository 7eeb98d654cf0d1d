package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json

/**
 * The value of a record as the state service returned it, not decoded yet. Decoding waits until a reader knows that the record is newer
 * than what it has, because most entries of a changed packed record are the same as before.
 *
 * All functions but [ended] and [forEachEntry] may throw where the value is malformed; callers use [copperglade.protocol.Decoding].
 */
@JvmInline
value class EncodedRecord(private val node: JsonNode) {
    internal fun live(): LiveRecord? = RecordCodec.decodeLive(node)

    internal fun ended(): EndRecord? = RecordCodec.decodeEnd(node)

    internal fun shard(): ShardRecord? = RecordCodec.decodeShard(node)

    internal fun member(): MemberRecord? = RecordCodec.decodeMember(node)

    internal fun leader(): LeaderRecord? = RecordCodec.decodeLeader(node)

    internal fun images(): ImageRecord = RecordCodec.decodeImages(node)

    internal fun peerStatus(): ByteArray? = RecordCodec.decodePeerStatus(node)

    /** Calls [action] for each entry of a packed record, in their order; entries of unreadable names are left out. */
    internal inline fun forEachEntry(action: (TaskRange, EncodedEntry) -> Unit) {
        for ((name, entry) in node.properties()) action(TaskRange.parse(name) ?: continue, EncodedEntry(entry))
    }

    companion object {
        /** The value that [bytes] hold, or null where they aren't JSON. */
        internal fun parse(bytes: ByteArray): EncodedRecord? = Json.read(bytes)?.let(::EncodedRecord)
    }
}

/** One entry of a packed record, not decoded yet. Its functions throw where the entry is malformed. */
@JvmInline
internal value class EncodedEntry(private val node: JsonNode) {
    val version: Int get() = RecordCodec.versionOf(node)

    fun assignmentRange(): AssignmentRange = RecordCodec.decodeAssignmentRange(node)

    fun outcome(): OutcomeRecord = RecordCodec.decodeOutcome(node)
}
