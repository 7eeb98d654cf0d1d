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
 * The version in production and this one run side by side: each must read what the other has written, and write what the
 * other can read. Here: the stored records. The samples are what production wrote; the expectations are literals, so that a
 * rename shows.
 */
class RecordCompatibilityTest {
    // ---- records ----

    @Test
    fun `the samples hold every kind of record`() {
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
    fun `a record that is read and written again is the same, byte for byte`(sample: RecordSample) {
        assertEquals(sample.text, rewritten(sample.directory, sample.value).decodeToString())
    }

    @ParameterizedTest
    @MethodSource("recordsWithNamedFields")
    fun `a field that is not known yet is ignored`(sample: RecordSample) {
        val valueOfLaterVersion = when (sample.directory) {
            "task", "work" -> withFieldInEachPart(sample)
            else -> sample.with(UNKNOWN_FIELD, LATER_VALUE)
        }
        assertEquals(sample.text, rewritten(sample.directory, valueOfLaterVersion).decodeToString())
    }

    private fun withFieldInEachPart(sample: RecordSample): JsonNode = sample.value.deepCopy<ObjectNode>().also { record ->
        record.forEach { part -> (part as ObjectNode).set<JsonNode>(UNKNOWN_FIELD, LATER_VALUE) }
    }

    /** What the present code writes for a record that it has read. */
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
    fun `a live array with all optional fields`() {
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
    fun `a live service without optional fields`() {
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
    fun `the cancelled mark and the placement limits of live records`() {
        assertTrue(live("cg/now/live/job-602").cancelled)
        assertTrue(live("cg/now/live/job-602").spec.spread)
        assertFalse(live("cg/now/live/job-602").spec.oneZone)
        assertTrue(live("cg/now/live/job-601").spec.oneZone)
        assertFalse(live("cg/now/live/job-601").spec.spread)
        assertFalse(live("cg/now/live/job-601").cancelled)
    }

    @Test
    fun `a live record that awaits no other job has the old form`() {
        val old = """{"spec":{"nameId":"job-2","load":"batch","crew":"team","haul":"array","urgency":"normal","boxes":6,""" +
            """"vcpus":2.0,"gpus":0.0,"memoryGb":1.0,"manifest":"img-1","pullGb":1.5,"oneZone":false,"spread":false,""" +
            """"borrowed":true,"etaS":8.0,"waypointS":0.0,"unloadS":0.0,"dueS":60.0},"at":1003003}"""
        assertEquals(old, RecordCodec.encode(live("cg/now/live/job-2")).decodeToString())
        assertEquals(old.dropLast(1) + ""","cancelled":true}""", RecordCodec.encode(cancelled(live("cg/now/live/job-2"))).decodeToString())
    }

    private fun cancelled(live: LiveRecord) = LiveRecord(live.spec, live.acceptedAtMillis, cancelled = true)

    @Test
    fun `a live record with awaited jobs is read with all its other fields`() {
        val sample = ProductionFiles.inSnapshot("cg/now/live/job-602")
        val live = RecordCodec.decodeLive(sample.with("awaits", Json.read("""["job-1","job-2"]""".toByteArray())!!))!!
        assertEquals(JobId("job-602"), live.spec.id)
        assertEquals(1_001_008, live.acceptedAtMillis)
        assertTrue(live.cancelled)
        assertTrue(live.spec.spread)
    }

    @Test
    fun `a field that is not known yet is ignored in the description of a job`() {
        val sample = ProductionFiles.inSnapshot("cg/now/live/job-604")
        val valueOfLaterVersion = sample.value.deepCopy<ObjectNode>()
        (valueOfLaterVersion.get("spec") as ObjectNode).set<JsonNode>(UNKNOWN_FIELD, LATER_VALUE)
        assertEquals(sample.text, rewritten("live", valueOfLaterVersion).decodeToString())
    }

    @Test
    fun `a packed record of assignments`() {
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
    fun `an assignment that is preempted for a guarantee`() {
        val sample = ProductionFiles.written("cg/now/task/array/0", part = "\"r\":")
        val range = RecordCodec.decodeAssignmentRange(sample.value.get("job-701/0"))
        assertEquals("0-15", TaskIndexRanges.format(range.preemptedForGuarantee))
        assertEquals("north.2 baton 7 generation 1: 0-7", groups(range).first())
        assertEquals(listOf(2, 32, 2), listOf(range.lastGeneration, range.assignedEnd, range.version))
    }

    private fun groups(range: AssignmentRange) =
        range.groups.map { "${it.shard} baton ${it.fencingToken} generation ${it.generation}: ${TaskIndexRanges.format(it.tasks)}" }

    @Test
    fun `packed records of work with done, returned and restarted tasks`() {
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
    fun `ends of jobs`() {
        val done = RecordCodec.decodeEnd(ProductionFiles.inSnapshot("cg/over/job-1").value)!!
        assertEquals(JobStatus.DONE to 6, done.status to done.tasksDone)
        val cancelled = RecordCodec.decodeEnd(ProductionFiles.inSnapshot("cg/over/job-501").value)!!
        assertEquals(JobStatus.CANCELLED to 0, cancelled.status to cancelled.tasksDone)
    }

    @Test
    fun `shards that are owned and released, members and the leader`() {
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
    fun `images that machines hold`() {
        val images = RecordCodec.decodeImages(ProductionFiles.inSnapshot("cg/now/images/north.2").value)
        assertEquals(mapOf(MachineName("i-000002") to listOf(ImageName("img-1"), ImageName("img-2"))), images.byMachine)
    }

    @Test
    fun `a peer status that went through the state service`() {
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

        /** All but the images: their fields are names of machines, so a further one is a machine. */
        @JvmStatic
        fun recordsWithNamedFields(): List<RecordSample> = ProductionFiles.all.filter { it.directory != "images" }
    }
}
