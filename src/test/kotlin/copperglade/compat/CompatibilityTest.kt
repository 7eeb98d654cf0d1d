package copperglade.compat

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.Endpoint
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.Simulation
import copperglade.standin.StandInState
import copperglade.storage.AssignmentRange
import copperglade.storage.LeaderRecord
import copperglade.storage.LiveRecord
import copperglade.storage.MemberRecord
import copperglade.storage.OutcomeRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ShardRecord
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import copperglade.storage.TaskIndexRanges
import copperglade.storage.TaskRange
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream

/**
 * The version in production and this one run side by side: each must read what the other has written, and write what the
 * other can read. The samples are what production wrote; the expectations are literals, so that a rename shows.
 */
class CompatibilityTest {
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
        val later = when (sample.directory) {
            "task", "work" -> withFieldInEachPart(sample)
            else -> sample.with(UNKNOWN, LATER_VALUE)
        }
        assertEquals(sample.text, rewritten(sample.directory, later).decodeToString())
    }

    private fun withFieldInEachPart(sample: RecordSample): JsonNode = sample.value.deepCopy<ObjectNode>().also { record ->
        record.forEach { part -> (part as ObjectNode).set<JsonNode>(UNKNOWN, LATER_VALUE) }
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
            assertEquals(listOf("job-604", "batch", "team", "img-3"), listOf(id.text, load, team.text, image.name.text))
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
        val later = sample.value.deepCopy<ObjectNode>()
        (later.get("spec") as ObjectNode).set<JsonNode>(UNKNOWN, LATER_VALUE)
        assertEquals(sample.text, rewritten("live", later).decodeToString())
    }

    @Test
    fun `a packed record of assignments`() {
        val pages = ProductionFiles.inSnapshot("cg/now/task/array/0").value
        assertEquals(listOf("job-602/0", "job-605/0", "job-601/0"), pages.fieldNames().asSequence().toList())
        val page = RecordCodec.decodeAssignmentRange(pages.get("job-605/0"))
        assertEquals(
            listOf("north.2 baton 11 generation 1: 0-47", "north.1 baton 6 generation 1: 48-111", "south.1 baton 10 generation 2: 112-159"),
            groups(page),
        )
        assertEquals(listOf(2, 160, 2), listOf(page.lastGeneration, page.frontier, page.version))
        assertTrue(page.preemptedForGuarantee.isEmpty)
    }

    @Test
    fun `an assignment that is preempted for a guarantee`() {
        val sample = ProductionFiles.written("cg/now/task/array/0", part = "\"r\":")
        val page = RecordCodec.decodeAssignmentRange(sample.value.get("job-701/0"))
        assertEquals("0-15", TaskIndexRanges.format(page.preemptedForGuarantee))
        assertEquals("north.2 baton 7 generation 1: 0-7", groups(page).first())
        assertEquals(listOf(2, 32, 2), listOf(page.lastGeneration, page.frontier, page.version))
    }

    private fun groups(page: AssignmentRange) =
        page.groups.map { "${it.shard} baton ${it.fencingToken} generation ${it.generation}: ${TaskIndexRanges.format(it.tasks)}" }

    @Test
    fun `packed records of work with done, returned and restarted tasks`() {
        val done = work(ProductionFiles.inSnapshot("cg/now/work/south.1/0"), "job-1/0")
        assertEquals("done 0-5, returned {}, restarted , version 1", described(done))
        val returned = work(ProductionFiles.inSnapshot("cg/now/work/north.1/0"), "job-605/0")
        assertEquals("done , returned {1=48-111}, restarted , version 1", described(returned))
        val restarted = work(ProductionFiles.written("cg/now/work/south.0/0", part = "\"x\":"), "job-859/0")
        assertEquals("done 1,3, returned {}, restarted 5, version 3", described(restarted))
    }

    private fun work(record: RecordSample, page: String) = RecordCodec.decodeOutcome(record.value.get(page))

    private fun described(work: OutcomeRecord): String {
        val returned = work.returned.mapValues { TaskIndexRanges.format(it.value) }
        return "done ${TaskIndexRanges.format(
            work.done,
        )}, returned $returned, restarted ${TaskIndexRanges.format(work.restarted)}, version ${work.version}"
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
        val givenUp = RecordCodec.decodeShard(ProductionFiles.written("cg/now/block/south.0", part = "\"inc\":0").value)!!
        assertEquals(ShardRecord.releasedBy(MemberId("lorry-1")), givenUp)
        assertTrue(givenUp.released)
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

    // ---- messages between controllers ----

    @Test
    fun `every peer status is written again with the same bytes`() {
        val statuses = ProductionFiles.messages.filterKeys { it.startsWith("note ") }
        assertEquals(KINDS_OF_STATUS, statuses.size, "${statuses.keys}")
        statuses.forEach { (kind, bytes) ->
            assertArrayEquals(bytes, PeerMessageCodec.encodeStatus(PeerMessageCodec.decodeStatus(bytes)!!), kind)
        }
    }

    @Test
    fun `a full status`() {
        val status = peerStatus("note full machines to replace images yielding")
        assertEquals(MemberId("lorry-2"), status.member)
        assertEquals(Incarnation(2), status.incarnation)
        assertEquals(Revision(51), status.knownRevision)
        assertEquals(458, status.stateSilentMillis)
        assertFalse(status.isLeader)
        assertEquals(0.10845220000923077, status.desiredWritesPerSecond)
        assertEquals(listOf("north.1 6 1", "south.2 7 0"), status.shards.map { "${it.shard} ${it.fencingToken} ${it.machines.size}" })
        with(
            status.shards
                .first()
                .machines
                .single(),
        ) {
            assertEquals(listOf("i-000001", "box", "north"), listOf(name.text, type, zone))
            assertEquals(listOf(false, false, false), listOf(spot, usable, worthKeeping))
            assertEquals(0, idleMillis)
            assertEquals(Resources(4.0, 0.0, 122.0), free)
            assertEquals(listOf(Resources.ZERO, Resources.ZERO, Resources(12.0, 0.0, 6.0), Resources.ZERO), preemptible)
            assertEquals(listOf("img-2", "img-1"), images.map { it.text })
        }
    }

    @Test
    fun `an idle machine on loan`() {
        val machine = peerStatus("note full machines usable").shards.flatMap { it.machines }.single()
        assertEquals(listOf(true, true, true), listOf(machine.spot, machine.usable, machine.worthKeeping))
        assertEquals(142, machine.idleMillis)
    }

    @Test
    fun `brief statuses, and what the leader adds`() {
        val brief = peerStatus("note brief")
        assertEquals(listOf("lorry-2", "2", "5"), listOf(brief.member.text, brief.incarnation.toString(), brief.knownRevision.toString()))
        assertEquals(emptyList<Any>(), brief.shards)
        assertFalse(brief.isLeader)
        assertTrue(peerStatus("note brief lead").isLeader)
        assertEquals(listOf("south.1"), peerStatus("note brief lead release").shardsToRelease.map { it.text })
        assertEquals(listOf("i-000006"), peerStatus("note brief lead retire").machinesToRetire.map { it.text })
    }

    private fun peerStatus(kind: String): PeerStatus = PeerMessageCodec.decodeStatus(ProductionFiles.message(kind))!!

    @Test
    fun `a request for an endorsement and the notice of a cancellation`() {
        assertEquals("lorry-2", ProductionFiles.message("vouch").decodeToString())
        val bytes = ProductionFiles.message("cancelled")
        val cancellation = PeerMessageCodec.decodeCancellations(bytes)!!.single()
        assertEquals(JobId("job-605") to Revision(37), cancellation.job to cancellation.revision)
        assertArrayEquals(bytes, PeerMessageCodec.encodeCancellations(listOf(cancellation)))
    }

    /** Written field by field in the order of the wire, with values that occur nowhere else in it. */
    @Test
    fun `each field of a peer status has its own place`() {
        val bytes = ByteArrayOutputStream()
        with(DataOutputStream(bytes)) {
            writeByte(2)
            text("m")
            listOf(3L, 9L, 12L).forEach(::writeLong)
            writeBoolean(true)
            texts("a", "z", "img-1")
            writeInt(1)
            text("z.0")
            writeLong(4)
            writeInt(1)
            text("i-1")
            listOf(0, 1).forEach(::writeInt)
            listOf(false, true, false).forEach(::writeBoolean)
            writeLong(5)
            listOf(1.0, 2.0, 3.0).forEach(::writeDouble)
            writeInt(1)
            writeBoolean(true)
            listOf(6.0, 7.0, 8.0).forEach(::writeDouble)
            listOf(1, 2).forEach(::writeInt)
            texts("z.1")
            texts("i-2")
            writeDouble(12.5)
        }
        val status = PeerMessageCodec.decodeStatus(bytes.toByteArray())!!
        assertArrayEquals(bytes.toByteArray(), PeerMessageCodec.encodeStatus(status))
        assertEquals(listOf(3L, 9L, 12L), listOf(status.incarnation.number, status.knownRevision.number, status.stateSilentMillis))
        assertEquals(listOf("z.1"), status.shardsToRelease.map { it.text })
        assertEquals(listOf("i-2"), status.machinesToRetire.map { it.text })
        assertEquals(12.5, status.desiredWritesPerSecond)
        val machine = status.shards
            .single()
            .machines
            .single()
        assertEquals(listOf("i-1", "a", "z"), listOf(machine.name.text, machine.type, machine.zone))
        assertEquals(listOf(false, true, false), listOf(machine.spot, machine.usable, machine.worthKeeping))
        assertEquals(5, machine.idleMillis)
        assertEquals(Resources(1.0, 2.0, 3.0), machine.free)
        assertEquals(listOf(Resources(6.0, 7.0, 8.0)), machine.preemptible)
        assertEquals(listOf(ImageName("img-1")), machine.images)
    }

    private fun DataOutputStream.text(value: String) {
        writeInt(value.length)
        writeBytes(value)
    }

    private fun DataOutputStream.texts(vararg values: String) {
        writeInt(values.size)
        values.forEach { text(it) }
    }

    // ---- a replica of what production left ----

    private fun loadedReplica(): Replica {
        val simulation = Simulation(seed = 1)
        val network = SimNetwork(simulation)
        val loop = SimLoop(simulation)
        val endpoint = Endpoint("10.2.0.1", 2379)
        val state = StandInState(loop)
        ProductionFiles.snapshot.forEach { state.put(it.key, it.text.toByteArray()) }
        network.listen(endpoint, "state", loop, state)
        val limits = StateLimits(requestsPerSecond = 200.0, writesPerSecond = 50.0, valueKb = 4.0, transactionWrites = 12)
        val replica = Replica(loop, StateClient(loop, network.callerOf("lorry-0", loop), endpoint, limits))
        replica.start()
        simulation.run(forMs = 5_000.0)
        return replica
    }

    @Test
    fun `a replica has the jobs that production left`() {
        val replica = loadedReplica()
        val live = replica.jobs.values
            .filter { it.live != null }
            .associate { it.id.text to it.status() }
        val expected = mapOf(
            "job-500" to JobStatus.RUNNING,
            "job-601" to JobStatus.RUNNING,
            "job-602" to JobStatus.CANCELLED,
            "job-603" to JobStatus.QUEUED,
            "job-604" to JobStatus.QUEUED,
            "job-605" to JobStatus.CANCELLED,
        ) + (2..7).associate { "job-$it" to JobStatus.QUEUED }
        assertEquals(expected, live)
        // Parts of jobs that are over stay in their packed records until these are written again.
        assertEquals(
            setOf("job-1", "job-501"),
            replica.jobs.keys
                .map { it.text }
                .toSet() - live.keys,
        )
        assertEquals("0-5", TaskIndexRanges.format(replica.jobs.getValue(JobId("job-1")).done))
        assertEquals(JobStatus.DONE, replica.endOf(JobId("job-1"))?.status)
        assertEquals(JobStatus.CANCELLED, replica.endOf(JobId("job-501"))?.status)
    }

    @Test
    fun `a replica has the assignments that production left, without what was given back`() {
        val replica = loadedReplica()
        assertEquals(listOf("south.0 9 1: 0-2"), assignments(replica, "job-500"))
        assertEquals(listOf("south.1 10 1: 0-2"), assignments(replica, "job-601"))
        assertEquals(listOf("south.1 10 1: 0-1", "north.2 11 2: 2-3"), assignments(replica, "job-602"))
        assertEquals(listOf("north.2 11 1: 0-47", "south.1 10 2: 112-159"), assignments(replica, "job-605"))
        assertEquals(emptyList<String>(), assignments(replica, "job-501"))
        assertEquals(emptyList<String>(), assignments(replica, "job-2"))
    }

    private fun assignments(replica: Replica, job: String): List<String> =
        replica.jobs
            .getValue(JobId(job))
            .assignments()
            .groupBy { "${it.shard} ${it.fencingToken} ${it.generation}" }
            .map { (group, its) ->
                "$group: ${its.first().task}-${its.last().task}".also { assertEquals(its.size, span(its.map { it.task })) }
            }

    private fun span(tasks: List<Int>) = tasks.last() - tasks.first() + 1

    @Test
    fun `a replica has the shards, members, images and the leader that production left`() {
        val replica = loadedReplica()
        val owners = replica.shards.entries.associate { (name, record) ->
            name.text to "${record.value.member} ${record.value.incarnation}"
        }
        val expected = mapOf(
            "north.0" to "lorry-0 3",
            "north.1" to "lorry-2 2",
            "north.2" to "lorry-1 1",
            "south.0" to "lorry-1 1",
            "south.1" to "lorry-0 3",
            "south.2" to "lorry-2 2",
        )
        assertEquals(expected, owners)
        val members = replica.members.entries.associate { (id, record) -> id.text to record.value.incarnation.number }
        assertEquals(mapOf("lorry-0" to 3L, "lorry-1" to 1L, "lorry-2" to 2L), members)
        assertEquals(LeaderRecord(MemberId("lorry-1"), Incarnation(1)), replica.leader?.value)
        assertEquals(
            setOf("north.1", "north.2", "south.0", "south.1"),
            replica.images.keys
                .map { it.text }
                .toSet(),
        )
        val keys = setOf("task/array/0", "task/service/0", "work/north.1/0", "work/south.0/0", "work/south.1/0")
        assertEquals(keys.map { "cg/now/$it" }.toSet(), replica.packedRecords.keys)
    }

    private companion object {
        const val UNKNOWN = "fieldOfALaterVersion"
        val LATER_VALUE: JsonNode = Json.read("""{"any":["thing",1]}""".toByteArray())!!
        const val KINDS_OF_STATUS = 10

        @JvmStatic
        fun records(): List<RecordSample> = ProductionFiles.all

        /** All but the images: their fields are names of machines, so a further one is a machine. */
        @JvmStatic
        fun recordsWithNamedFields(): List<RecordSample> = ProductionFiles.all.filter { it.directory != "images" }
    }
}
