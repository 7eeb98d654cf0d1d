package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json

/**
 * The value of a record as the state service returned it, not decoded yet. A record is decoded only after its revision or version has been
 * found newer than the stored one, because most entries of a changed packed record are unchanged.
 *
 * All functions except [ended] and [forEachEntry] may throw if the value is malformed; callers use [copperglade.protocol.Decoding].
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

    /** Calls [action] for each entry of a packed record, in stored order. Entries whose names can't be parsed are skipped. */
    internal inline fun forEachEntry(action: (TaskRange, EncodedEntry) -> Unit) {
        for ((name, entry) in node.properties()) action(TaskRange.parse(name) ?: continue, EncodedEntry(entry))
    }

    companion object {
        /** Parses [bytes]; returns null if they aren't JSON. */
        internal fun parse(bytes: ByteArray): EncodedRecord? = Json.read(bytes)?.let(::EncodedRecord)
    }
}

/** One entry of a packed record, not decoded yet. Its functions throw if the entry is malformed. */
@JvmInline
internal value class EncodedEntry(private val node: JsonNode) {
    val version: Int get() = RecordCodec.versionOf(node)

    fun assignmentRange(): AssignmentRange = RecordCodec.decodeAssignmentRange(node)

    fun outcome(): OutcomeRecord = RecordCodec.decodeOutcome(node)
}
