package copperglade.storage

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.ShardName
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import java.io.IOException
import java.util.BitSet

/**
 * Records as JSON values. The field names are short, since there are many small values. Decoding functions return null where a required
 * field is missing, and those of packed records' entries throw.
 */
object RecordCodec {
    fun encode(record: LiveRecord): ByteArray = Json.write {
        writeJsonObject {
            writeFieldName("spec")
            JobSpecCodec.write(this, record.spec)
            writeNumberField("at", record.acceptedAtMillis)
            if (record.cancelled) writeBooleanField("cancelled", true)
            // Left out where empty, as earlier versions do.
            if (record.dependencies.isNotEmpty()) {
                writeJsonArray(JobSpecCodec.DEPENDENCIES) { record.dependencies.forEach { writeString(it.text) } }
            }
        }
    }

    internal fun decodeLive(node: JsonNode): LiveRecord? {
        val spec = (JobSpecCodec.parse(node.get("spec")) as? ParsedSubmission.Valid)?.spec ?: return null
        val dependencies = node.get(JobSpecCodec.DEPENDENCIES)?.mapNotNull { JobId.parse(it.asText()) }.orEmpty()
        return LiveRecord(spec, node.longOrNull("at") ?: 0, node.booleanOrNull("cancelled") ?: false, dependencies)
    }

    fun encode(record: AssignmentRange): ByteArray = Json.write {
        writeJsonObject {
            writeJsonArray("g") {
                for (group in record.groups) {
                    writeStartArray()
                    writeString(group.shard.text)
                    writeNumber(group.fencingToken.number)
                    writeNumber(group.generation)
                    writeString(TaskIndexRanges.format(group.tasks))
                    writeEndArray()
                }
            }
            ranges("r", record.preemptedForGuarantee)
            writeNumberField("n", record.lastGeneration)
            writeNumberField("f", record.assignedEnd)
            version(record)
        }
    }

    internal fun decodeAssignmentRange(node: JsonNode): AssignmentRange {
        val groups = node.get("g").map {
            AssignmentGroup(
                ShardName(it[0].asText()),
                FencingToken(it[1].asLong()),
                it[2].asInt(),
                TaskIndexRanges.parse(it[3].asText()),
            )
        }
        return AssignmentRange(groups, node.ranges("r"), node.get("n").asInt(), node.get("f").asInt(), versionOf(node))
    }

    fun encode(record: OutcomeRecord): ByteArray = Json.write {
        writeJsonObject {
            ranges("d", record.done)
            if (record.returned.isNotEmpty()) {
                writeJsonObject("b") { record.returned.forEach { (generation, tasks) -> ranges(generation.toString(), tasks) } }
            }
            ranges("x", record.restarted)
            // Left out where false, as earlier versions do.
            if (record.failing) writeBooleanField("m", true)
            version(record)
        }
    }

    internal fun decodeOutcome(node: JsonNode): OutcomeRecord {
        val returned = HashMap<Int, BitSet>()
        node.get("b")?.properties()?.forEach { (generation, tasks) ->
            returned[generation.toInt()] = TaskIndexRanges.parse(tasks.asText())
        }
        return OutcomeRecord(node.ranges("d"), returned, node.ranges("x"), versionOf(node), node.booleanOrNull("m") ?: false)
    }

    /** A packed record: its encoded entries under the names of their task ranges. */
    fun encodePackedRecord(entries: Map<TaskRange, ByteArray>): ByteArray = Json.write {
        writeJsonObject {
            for ((range, entry) in entries) {
                writeFieldName(range.toString())
                writeRawValue(entry.decodeToString())
            }
        }
    }

    /** The version of an entry of a packed record. */
    internal fun versionOf(node: JsonNode): Int = node.get("v").asInt()

    private fun JsonGenerator.version(record: Versioned) = writeNumberField("v", record.version)

    fun encode(record: EndRecord): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("status", record.status.name)
            writeNumberField("done", record.tasksDone)
        }
    }

    internal fun decodeEnd(node: JsonNode): EndRecord? {
        val status = JobStatus.entries.firstOrNull { it.name == node.stringOrNull("status") } ?: return null
        return EndRecord(status, (node.longOrNull("done") ?: 0).toInt())
    }

    fun encode(record: ShardRecord): ByteArray = memberAndIncarnation(record.member, record.incarnation)

    internal fun decodeShard(node: JsonNode): ShardRecord? {
        val member = MemberId(node.stringOrNull("member") ?: return null)
        return ShardRecord(member, Incarnation(node.longOrNull("inc") ?: return null))
    }

    fun encode(record: LeaderRecord): ByteArray = memberAndIncarnation(record.member, record.incarnation)

    internal fun decodeLeader(node: JsonNode): LeaderRecord? = decodeShard(node)?.let { LeaderRecord(it.member, it.incarnation) }

    fun encode(record: ImageRecord): ByteArray = Json.write {
        writeJsonObject {
            for ((machine, images) in record.byMachine) writeJsonArray(machine.text) { images.forEach { writeString(it.text) } }
        }
    }

    internal fun decodeImages(node: JsonNode): ImageRecord =
        ImageRecord(node.properties().associate { (machine, images) -> MachineName(machine) to images.map { ImageName(it.asText()) } })

    fun encode(record: MemberRecord): ByteArray = Json.write {
        writeJsonObject { writeNumberField("inc", record.incarnation.number) }
    }

    internal fun decodeMember(node: JsonNode): MemberRecord? = node.longOrNull("inc")?.let { MemberRecord(Incarnation(it)) }

    /** A peer status that goes through the state service, with the same bytes as between controllers. */
    fun encodePeerStatus(status: ByteArray): ByteArray = Json.write { writeJsonObject { writeBinaryField("note", status) } }

    internal fun decodePeerStatus(node: JsonNode): ByteArray? = try {
        node.get("note")?.binaryValue()
    } catch (_: IOException) {
        null
    }

    private fun memberAndIncarnation(member: MemberId, incarnation: Incarnation): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("member", member.text)
            writeNumberField("inc", incarnation.number)
        }
    }

    private fun JsonGenerator.ranges(name: String, set: BitSet) {
        if (!set.isEmpty) writeStringField(name, TaskIndexRanges.format(set))
    }

    private fun JsonNode.ranges(name: String): BitSet = TaskIndexRanges.parse(stringOrNull(name).orEmpty())
}
