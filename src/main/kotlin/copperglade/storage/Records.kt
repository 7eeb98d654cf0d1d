package copperglade.storage

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.BlockName
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedJob
import copperglade.protocol.Stamp
import copperglade.protocol.TaskId
import copperglade.protocol.array
import copperglade.protocol.flag
import copperglade.protocol.long
import copperglade.protocol.obj
import copperglade.protocol.text
import java.io.IOException
import java.util.BitSet

/** A record as it stands in the state service. */
class Stamped<T>(val value: T, val stamp: Stamp)

/**
 * An accepted job that is not over.
 *
 * @property dependencies jobs that have to be done before it and were not when it was accepted; often none.
 */
class LiveRecord(val spec: JobSpec, val acceptedAtMs: Long, val cancelled: Boolean, val dependencies: List<JobId> = emptyList()) {
    fun withCancelledMark() = LiveRecord(spec, acceptedAtMs, cancelled = true, dependencies)
}

/**
 * Tasks that the leader gave to a block.
 *
 * @property fencingToken the block's stamp at that time: an owner that still holds it knows that nobody before it can have
 * started these tasks.
 * @property generation tells apart repeated assignments of a task to the same block.
 */
class AssignmentGroup(val block: BlockName, val fencingToken: FencingToken, val generation: Int, val tasks: BitSet)

/** A part of a packed record that says how often it was changed: what has the same number is the same. */
interface Versioned {
    val version: Int
}

/**
 * Where the tasks of one page of a job are; written by the leader alone.
 *
 * @property lastGeneration kept although its group may be gone: a generation used twice would take an old give-back
 * for that of a new assignment.
 * @property frontier no task from here on has ever been assigned, so none can have been given back either.
 */
class AssignmentPage(
    val groups: List<AssignmentGroup>,
    val recalled: BitSet,
    val lastGeneration: Int,
    val frontier: Int,
    override val version: Int,
) : Versioned {
    companion object {
        val EMPTY = AssignmentPage(emptyList(), BitSet(), 0, 0, 0)
    }
}

/**
 * What became of a page's tasks in one block; written by the block's owner alone.
 *
 * @property returned by generation, the tasks that are surely on no machine of the block any more.
 */
class WorkRecord(
    val done: BitSet,
    val returned: Map<Int, BitSet>,
    val restarted: BitSet,
    override val version: Int,
) : Versioned {
    companion object {
        val EMPTY = WorkRecord(BitSet(), emptyMap(), BitSet(), 0)
    }
}

class EndRecord(val status: JobStatus, val tasksDone: Int)

/** Who owns a block; the stamp of the record is the fencing token of the block's workers. */
data class BlockRecord(val member: MemberId, val incarnation: Incarnation) {
    /** Nobody owns it: [member] gave it up and had better not get it back at once. */
    val givenUp: Boolean get() = incarnation == NO_LIFE

    companion object {
        /** The state service's leases are numbered from 1. */
        private val NO_LIFE = Incarnation(0)

        fun givenUpBy(member: MemberId) = BlockRecord(member, NO_LIFE)
    }
}

/** Which images the machines of a block are known to hold: only a hint, so that a new owner places as well as the last. */
class ImageRecord(val byMachine: Map<MachineName, List<ImageName>>)

data class MemberRecord(val incarnation: Incarnation)

data class LeaderRecord(val member: MemberId, val incarnation: Incarnation)

/** Sets of task numbers as text, such as `0-3,7`. */
object Ranges {
    fun format(set: BitSet): String = buildString {
        var start = set.nextSetBit(0)
        while (start >= 0) {
            val end = set.nextClearBit(start) - 1
            if (isNotEmpty()) append(',')
            append(start)
            if (end > start) append('-').append(end)
            start = set.nextSetBit(end + 1)
        }
    }

    fun parse(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (part in text.split(',')) {
            val dash = part.indexOf('-')
            if (dash <
                0
            ) {
                set.set(part.toInt())
            } else {
                set.set(
                    part.substring(0, dash).toInt(),
                    part.substring(dash + 1).toInt() + 1,
                )
            }
        }
        return set
    }
}

/** The names of the records' keys. */
object Keys {
    const val ROOT = "cg/"

    /** All that a starting controller has to read. */
    const val NOW = "cg/now/"
    const val OVER = "cg/over/"
    const val LEADER = "cg/now/lead"

    /** Tasks a page: a page of the most scattered ranges stays far below the smallest value limit. */
    const val PAGE_TASKS = 256

    fun live(job: JobId) = "${NOW}live/$job"

    /** The leader's packed records: each holds the assignments of several jobs' pages. */
    fun assignmentRecords(kind: JobKind) = "${NOW}task/${kind.name.lowercase()}/"

    /** A block's packed records: each holds what became of several jobs' pages in that block. */
    fun outcomeRecords(block: BlockName) = "${NOW}work/$block/"

    fun block(name: BlockName) = "${NOW}block/$name"

    fun member(id: MemberId) = "${NOW}member/$id"

    /** What a member would tell the leader of its room, while it can't reach it. */
    fun room(id: MemberId) = "${NOW}room/$id"

    fun images(block: BlockName) = "${NOW}images/$block"

    fun over(job: JobId) = "$OVER$job"

    fun parse(key: String): ParsedKey? {
        if (key == LEADER) return ParsedKey.Leader
        if (key.startsWith(OVER)) return JobId.parse(key.substring(OVER.length))?.let { ParsedKey.Over(it) }
        if (!key.startsWith(NOW)) return null
        val parts = key.substring(NOW.length).split('/')
        return when (parts[0]) {
            "live" -> JobId.parse(parts[1])?.let { ParsedKey.Live(it) }
            "task" -> ParsedKey.Assignments
            "work" -> ParsedKey.Outcomes(BlockName(parts[1]))
            "block" -> ParsedKey.Block(BlockName(parts[1]))
            "images" -> ParsedKey.Images(BlockName(parts[1]))
            "room" -> ParsedKey.Room(MemberId(parts[1]))
            "member" -> ParsedKey.Member(MemberId(parts[1]))
            else -> null
        }
    }
}

/** A page's tasks in a block. */
data class WorkPlace(val page: Int, val block: BlockName)

/** A page of a job, as a packed record names it: `job-000412/0`. */
data class JobPage(val job: JobId, val page: Int) {
    override fun toString() = "$job/$page"

    companion object {
        // A page is named like a task: job and number.
        fun parse(text: String): JobPage? = TaskId.parse(text)?.let { JobPage(it.job, it.index) }
    }
}

sealed interface ParsedKey {
    data object Leader : ParsedKey

    class Live(val job: JobId) : ParsedKey

    data object Assignments : ParsedKey

    class Outcomes(val block: BlockName) : ParsedKey

    class Over(val job: JobId) : ParsedKey

    class Block(val name: BlockName) : ParsedKey

    class Member(val id: MemberId) : ParsedKey

    class Images(val block: BlockName) : ParsedKey

    class Room(val id: MemberId) : ParsedKey
}

/** Records as JSON values. Short names: small values, many of them. */
object RecordCodec {
    fun encode(record: LiveRecord): ByteArray = Json.write {
        obj {
            writeFieldName("spec")
            JobSpecCodec.write(this, record.spec)
            writeNumberField("at", record.acceptedAtMs)
            if (record.cancelled) writeBooleanField("cancelled", true)
            // Left out where empty: earlier versions write and read records without it.
            if (record.dependencies.isNotEmpty()) {
                array(JobSpecCodec.DEPENDENCIES) { record.dependencies.forEach { writeString(it.text) } }
            }
        }
    }

    fun decodeLive(node: JsonNode): LiveRecord? {
        val spec = (JobSpecCodec.parse(node.get("spec")) as? ParsedJob.Good)?.spec ?: return null
        val dependencies = node.get(JobSpecCodec.DEPENDENCIES)?.mapNotNull { JobId.parse(it.asText()) }.orEmpty()
        return LiveRecord(spec, node.long("at") ?: 0, node.flag("cancelled") ?: false, dependencies)
    }

    fun encode(record: AssignmentPage): ByteArray = Json.write {
        obj {
            array("g") {
                for (group in record.groups) {
                    writeStartArray()
                    writeString(group.block.text)
                    writeNumber(group.fencingToken.number)
                    writeNumber(group.generation)
                    writeString(Ranges.format(group.tasks))
                    writeEndArray()
                }
            }
            ranges("r", record.recalled)
            writeNumberField("n", record.lastGeneration)
            writeNumberField("f", record.frontier)
            version(record)
        }
    }

    fun decodePage(node: JsonNode): AssignmentPage {
        val groups = node.get("g").map {
            AssignmentGroup(
                BlockName(it[0].asText()),
                FencingToken(it[1].asLong()),
                it[2].asInt(),
                Ranges.parse(it[3].asText()),
            )
        }
        return AssignmentPage(groups, node.ranges("r"), node.get("n").asInt(), node.get("f").asInt(), versionOf(node))
    }

    fun encode(record: WorkRecord): ByteArray = Json.write {
        obj {
            ranges("d", record.done)
            if (record.returned.isNotEmpty()) {
                obj("b") { record.returned.forEach { (generation, tasks) -> ranges(generation.toString(), tasks) } }
            }
            ranges("x", record.restarted)
            version(record)
        }
    }

    fun decodeWork(node: JsonNode): WorkRecord {
        val returned = HashMap<Int, BitSet>()
        node.get("b")?.properties()?.forEach { (generation, tasks) ->
            returned[generation.toInt()] =
                Ranges.parse(tasks.asText())
        }
        return WorkRecord(node.ranges("d"), returned, node.ranges("x"), versionOf(node))
    }

    /** A packed record: its parts under the pages' names, as they were encoded. */
    fun encodePackedRecord(parts: Map<JobPage, ByteArray>): ByteArray = Json.write {
        obj {
            for ((place, part) in parts) {
                writeFieldName(place.toString())
                writeRawValue(part.decodeToString())
            }
        }
    }

    fun versionOf(node: JsonNode): Int = node.get("v").asInt()

    private fun JsonGenerator.version(record: Versioned) = writeNumberField("v", record.version)

    fun encode(record: EndRecord): ByteArray = Json.write {
        obj {
            writeStringField("status", record.status.name)
            writeNumberField("done", record.tasksDone)
        }
    }

    fun decodeEnd(node: JsonNode): EndRecord? {
        val status = JobStatus.entries.firstOrNull { it.name == node.text("status") } ?: return null
        return EndRecord(status, (node.long("done") ?: 0).toInt())
    }

    fun encode(record: BlockRecord): ByteArray = holder(record.member, record.incarnation)

    fun decodeBlock(node: JsonNode): BlockRecord? {
        val member = MemberId(node.text("member") ?: return null)
        return BlockRecord(member, Incarnation(node.long("inc") ?: return null))
    }

    fun encode(record: LeaderRecord): ByteArray = holder(record.member, record.incarnation)

    fun decodeLeader(node: JsonNode): LeaderRecord? = decodeBlock(node)?.let { LeaderRecord(it.member, it.incarnation) }

    fun encode(record: ImageRecord): ByteArray = Json.write {
        obj {
            for ((machine, images) in record.byMachine) array(machine.text) { images.forEach { writeString(it.text) } }
        }
    }

    fun decodeImages(node: JsonNode): ImageRecord =
        ImageRecord(
            node.properties().associate { (machine, images) ->
                MachineName(machine) to
                    images.map { ImageName(it.asText()) }
            },
        )

    fun encode(record: MemberRecord): ByteArray = Json.write {
        obj { writeNumberField("inc", record.incarnation.number) }
    }

    fun decodeMember(node: JsonNode): MemberRecord? = node.long("inc")?.let { MemberRecord(Incarnation(it)) }

    /** A status message between controllers, as it would have been sent. */
    fun encodePeerStatus(status: ByteArray): ByteArray = Json.write { obj { writeBinaryField("note", status) } }

    fun decodePeerStatus(node: JsonNode): ByteArray? = try {
        node.get("note")?.binaryValue()
    } catch (_: IOException) {
        null
    }

    private fun holder(member: MemberId, incarnation: Incarnation): ByteArray = Json.write {
        obj {
            writeStringField("member", member.text)
            writeNumberField("inc", incarnation.number)
        }
    }

    private fun JsonGenerator.ranges(name: String, set: BitSet) {
        if (!set.isEmpty) writeStringField(name, Ranges.format(set))
    }

    private fun JsonNode.ranges(name: String): BitSet = Ranges.parse(text(name).orEmpty())
}
