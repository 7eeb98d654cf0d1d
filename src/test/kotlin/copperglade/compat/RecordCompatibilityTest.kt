package copperglade.compat

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.storage.AssignmentRange
import copperglade.storage.LeaderRecord
import copperglade.storage.LiveRecord
import copperglade.storage.MemberRecord
import copperglade.storage.OutcomeRecord
import copperglade.storage.RecordCodec
import copperglade.storage.ShardRecord
import copperglade.storage.TaskIndexRanges
import copperglade.storage.TaskRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Checks the compatibility of stored records. The version in production and this version run side by side, so each must
 * read what the other writes. The samples were written by the production version; the expected values are literals, so that renaming
 * code doesn't change them.
 */
class RecordCompatibilityTest {
    @Test
    fun `the samples contain every kind of record`() {
        val directories = ProductionFiles.writes.map { it.directory }.toSet()
        assertEquals(setOf("live", "task", "work", "over", "block", "member", "lead", "images", "room"), directories)
        assertEquals(setOf("g", "r", "n", "f", "v"), fieldsOfParts("task"))
        assertEquals(setOf("d", "b", "x", "v"), fieldsOfParts("work"))
    }

    private fun fieldsOfParts(directory: String): Set<String> = ProductionFiles.writes
        .filter { it.directory == directory }
        .flatMap { sample -> sample.value.flatMap { part -> part.fieldNames().asSequence().toList() } }
        .toSet()

    @ParameterizedTest
    @MethodSource("records")
    fun `a decoded record is encoded to the same bytes`(sample: RecordSample) {
        assertEquals(sample.text, rewritten(sample.directory, sample.value).decodeToString())
    }

    @ParameterizedTest
    @MethodSource("recordsWithNamedFields")
    fun `an unknown field is ignored`(sample: RecordSample) {
        val valueOfLaterVersion = when (sample.directory) {
            "task", "work" -> withFieldInEachPart(sample)
            else -> sample.with(UNKNOWN_FIELD, LATER_VALUE)
        }
        assertEquals(sample.text, rewritten(sample.directory, valueOfLaterVersion).decodeToString())
    }

    private fun withFieldInEachPart(sample: RecordSample): JsonNode = sample.value.deepCopy<ObjectNode>().also { record ->
        record.forEach { part -> (part as ObjectNode).set<JsonNode>(UNKNOWN_FIELD, LATER_VALUE) }
    }

    /** Decodes a record and encodes it again. */
    private fun rewritten(directory: String, value: JsonNode): ByteArray = when (directory) {
        "live" -> RecordCodec.encode(RecordCodec.decodeLive(value)!!)
        "task" -> packedRecord(value) { RecordCodec.encode(RecordCodec.decodeAssignmentRange(it)) }
        "work" -> packedRecord(value) { RecordCodec.encode(RecordCodec.decodeOutcome(it)) }
        "over" -> RecordCodec.encode(RecordCodec.decodeEnd(value)!!)
        "block" -> RecordCodec.encode(RecordCodec.decodeShard(value)!!)
        "member" -> RecordCodec.encode(RecordCodec.decodeMember(value)!!)
        "lead" -> RecordCodec.encode(RecordCodec.decodeLeader(value)!!)
        "images" -> RecordCodec.encode(RecordCodec.decodeImages(value))
        "room" -> RecordCodec.encodePeerStatus(
            PeerMessageCodec.encodeStatus(PeerMessageCodec.decodeStatus(RecordCodec.decodePeerStatus(value)!!)!!),
        )
        else -> error("no such records: $directory")
    }

    private fun packedRecord(value: JsonNode, part: (JsonNode) -> ByteArray): ByteArray =
        RecordCodec.encodePackedRecord(value.properties().associate { (name, node) -> TaskRange.parse(name)!! to part(node) })

    @Test
    fun `a live array with all optional fields is decoded`() {
        val live = live("cg/now/live/job-604")
        assertEquals(1_001_007, live.acceptedAtMillis)
        assertFalse(live.cancelled)
        with(live.spec) {
            assertEquals(listOf("job-604", "batch", "team", "img-3"), listOf(id.text, workloadClass, team.text, image.name.text))
            assertEquals(JobKind.ARRAY, kind)
            assertEquals(Priority.LOW, priority)
            assertEquals(2, tasks)
            assertEquals(Resources(1.5, 0.0, 2.25), request)
            assertEquals(0.5, image.sizeGb)
            assertEquals(listOf("box"), types)
            assertEquals("north", zone)
            assertEquals(listOf(false, false, true), listOf(oneZone, spread, spotAllowed))
            assertEquals(
                listOf(20.0, 5.0, 1.0, 90.0),
                listOf(estimatedSeconds, checkpointIntervalSeconds, checkpointSeconds, deadlineSeconds),
            )
        }
    }

    @Test
    fun `a live service without optional fields is decoded`() {
        val live = live("cg/now/live/job-500")
        with(live.spec) {
            assertEquals(JobKind.SERVICE, kind)
            assertEquals(Priority.HIGH, priority)
            assertNull(types)
            assertNull(zone)
            assertNull(deadlineSeconds)
            assertFalse(spotAllowed)
        }
    }

    @Test
    fun `the cancellation flag and the placement constraints of live records are decoded`() {
        assertTrue(live("cg/now/live/job-602").cancelled)
        assertTrue(live("cg/now/live/job-602").spec.spread)
        assertFalse(live("cg/now/live/job-602").spec.oneZone)
        assertTrue(live("cg/now/live/job-601").spec.oneZone)
        assertFalse(live("cg/now/live/job-601").spec.spread)
        assertFalse(live("cg/now/live/job-601").cancelled)
    }

    @Test
    fun `a live record without awaited jobs is encoded in the former format`() {
        val old = """{"spec":{"nameId":"job-2","load":"batch","crew":"team","haul":"array","urgency":"normal","boxes":6,""" +
            """"vcpus":2.0,"gpus":0.0,"memoryGb":1.0,"manifest":"img-1","pullGb":1.5,"oneZone":false,"spread":false,""" +
            """"borrowed":true,"etaS":8.0,"waypointS":0.0,"unloadS":0.0,"dueS":60.0},"at":1003003}"""
        assertEquals(old, RecordCodec.encode(live("cg/now/live/job-2")).decodeToString())
        assertEquals(old.dropLast(1) + ""","cancelled":true}""", RecordCodec.encode(cancelled(live("cg/now/live/job-2"))).decodeToString())
    }

    private fun cancelled(live: LiveRecord) = LiveRecord(live.spec, live.acceptedAtMillis, cancelled = true)

    @Test
    fun `a live record with awaited jobs is decoded with all its other fields`() {
        val sample = ProductionFiles.inSnapshot("cg/now/live/job-602")
        val live = RecordCodec.decodeLive(sample.with("awaits", Json.read("""["job-1","job-2"]""".toByteArray())!!))!!
        assertEquals(JobId("job-602"), live.spec.id)
        assertEquals(1_001_008, live.acceptedAtMillis)
        assertTrue(live.cancelled)
        assertTrue(live.spec.spread)
    }

    @Test
    fun `an unknown field in a job description is ignored`() {
        val sample = ProductionFiles.inSnapshot("cg/now/live/job-604")
        val valueOfLaterVersion = sample.value.deepCopy<ObjectNode>()
        (valueOfLaterVersion.get("spec") as ObjectNode).set<JsonNode>(UNKNOWN_FIELD, LATER_VALUE)
        assertEquals(sample.text, rewritten("live", valueOfLaterVersion).decodeToString())
    }

    @Test
    fun `a packed record of assignments is decoded`() {
        val ranges = ProductionFiles.inSnapshot("cg/now/task/array/0").value
        assertEquals(listOf("job-602/0", "job-605/0", "job-601/0"), ranges.fieldNames().asSequence().toList())
        val range = RecordCodec.decodeAssignmentRange(ranges.get("job-605/0"))
        assertEquals(
            listOf("north.2 baton 11 generation 1: 0-47", "north.1 baton 6 generation 1: 48-111", "south.1 baton 10 generation 2: 112-159"),
            groups(range),
        )
        assertEquals(listOf(2, 160, 2), listOf(range.lastGeneration, range.assignedEnd, range.version))
        assertTrue(range.preemptedForGuarantee.isEmpty)
    }

    @Test
    fun `the tasks that are preempted for a guarantee are decoded`() {
        val sample = ProductionFiles.written("cg/now/task/array/0", part = "\"r\":")
        val range = RecordCodec.decodeAssignmentRange(sample.value.get("job-701/0"))
        assertEquals("0-15", TaskIndexRanges.format(range.preemptedForGuarantee))
        assertEquals("north.2 baton 7 generation 1: 0-7", groups(range).first())
        assertEquals(listOf(2, 32, 2), listOf(range.lastGeneration, range.assignedEnd, range.version))
    }

    private fun groups(range: AssignmentRange) =
        range.groups.map { "${it.shard} baton ${it.fencingToken} generation ${it.generation}: ${TaskIndexRanges.format(it.tasks)}" }

    @Test
    fun `packed records of outcomes with done, returned and restarted tasks are decoded`() {
        val done = outcomeOf(ProductionFiles.inSnapshot("cg/now/work/south.1/0"), "job-1/0")
        assertEquals("done 0-5, returned {}, restarted , version 1", describe(done))
        val returned = outcomeOf(ProductionFiles.inSnapshot("cg/now/work/north.1/0"), "job-605/0")
        assertEquals("done , returned {1=48-111}, restarted , version 1", describe(returned))
        val restarted = outcomeOf(ProductionFiles.written("cg/now/work/south.0/0", part = "\"x\":"), "job-859/0")
        assertEquals("done 1,3, returned {}, restarted 5, version 3", describe(restarted))
    }

    private fun outcomeOf(record: RecordSample, range: String) = RecordCodec.decodeOutcome(record.value.get(range))

    private fun describe(outcome: OutcomeRecord): String {
        val returned = outcome.returned.mapValues { TaskIndexRanges.format(it.value) }
        return "done ${TaskIndexRanges.format(
            outcome.done,
        )}, returned $returned, restarted ${TaskIndexRanges.format(outcome.restarted)}, version ${outcome.version}"
    }

    @Test
    fun `end records of jobs are decoded`() {
        val done = RecordCodec.decodeEnd(ProductionFiles.inSnapshot("cg/over/job-1").value)!!
        assertEquals(JobStatus.DONE to 6, done.status to done.tasksDone)
        val cancelled = RecordCodec.decodeEnd(ProductionFiles.inSnapshot("cg/over/job-501").value)!!
        assertEquals(JobStatus.CANCELLED to 0, cancelled.status to cancelled.tasksDone)
    }

    @Test
    fun `owned and released shards, members and the leader are decoded`() {
        val owned = RecordCodec.decodeShard(ProductionFiles.inSnapshot("cg/now/block/north.1").value)!!
        assertEquals(ShardRecord(MemberId("lorry-2"), Incarnation(2)), owned)
        assertFalse(owned.released)
        val releasedShard = RecordCodec.decodeShard(ProductionFiles.written("cg/now/block/south.0", part = "\"inc\":0").value)!!
        assertEquals(ShardRecord.releasedBy(MemberId("lorry-1")), releasedShard)
        assertTrue(releasedShard.released)
        val member = RecordCodec.decodeMember(ProductionFiles.inSnapshot("cg/now/member/lorry-0").value)
        assertEquals(MemberRecord(Incarnation(3)), member)
        val leader = RecordCodec.decodeLeader(ProductionFiles.inSnapshot("cg/now/lead").value)
        assertEquals(LeaderRecord(MemberId("lorry-1"), Incarnation(1)), leader)
    }

    @Test
    fun `the images that machines cache are decoded`() {
        val images = RecordCodec.decodeImages(ProductionFiles.inSnapshot("cg/now/images/north.2").value)
        assertEquals(mapOf(MachineName("i-000002") to listOf(ImageName("img-1"), ImageName("img-2"))), images.byMachine)
    }

    @Test
    fun `a stored peer status is decoded`() {
        val sample = ProductionFiles.writes.first { it.directory == "room" }
        assertEquals("cg/now/room/lorry-0", sample.key)
        val status = PeerMessageCodec.decodeStatus(RecordCodec.decodePeerStatus(sample.value)!!)!!
        assertEquals(MemberId("lorry-0"), status.member)
        val machine = status.shards.flatMap { it.machines }.single()
        assertEquals(MachineName("i-000004"), machine.name)
        assertEquals(Resources(10.0, 0.0, 125.0), machine.free)
        assertEquals(Resources(6.0, 0.0, 3.0), machine.preemptible[Priority.NORMAL.ordinal])
    }

    private fun live(key: String): LiveRecord = RecordCodec.decodeLive(ProductionFiles.inSnapshot(key).value)!!

    private companion object {
        const val UNKNOWN_FIELD = "fieldOfALaterVersion"
        val LATER_VALUE: JsonNode = Json.read("""{"any":["thing",1]}""".toByteArray())!!

        @JvmStatic
        fun records(): List<RecordSample> = ProductionFiles.all

        /** All records except images, whose field names are machine names, so that an additional field would be a machine. */
        @JvmStatic
        fun recordsWithNamedFields(): List<RecordSample> = ProductionFiles.all.filter { it.directory != "images" }
    }
}
