package copperglade.protocol

import copperglade.settings.InvalidSettingException
import copperglade.settings.PlatformSettingsParser
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random

class WireTest {
    private val job = """{"nameId":"job-7","load":"l","crew":"t","haul":"array","urgency":"normal","boxes":3,"vcpus":1.0,
        "gpus":0.0,"memoryGb":2.0,"manifest":"img-1","pullGb":1.0,"fleets":["a"],"depot":null,"oneZone":false,"spread":true,
        "borrowed":true,"etaS":5.0,"waypointS":0.0,"unloadS":0.0,"dueS":20.0,"new":"field"}"""

    @Test
    fun `a job survives its own wire form`() {
        val spec = (JobSpecCodec.parse(Json.read(job.toByteArray())) as ParsedSubmission.Valid).spec
        val again = (
            JobSpecCodec.parse(
                Json.read(Json.write { JobSpecCodec.write(this, spec) }),
            ) as ParsedSubmission.Valid
        ).spec
        assertEquals(spec.id, again.id)
        assertEquals(spec.request, again.request)
        assertEquals(listOf("a"), again.types)
        assertEquals(2, again.perZoneLimit)
        assertNull(again.zone)
    }

    @ParameterizedTest
    @CsvSource(
        "'\"boxes\":3', '\"boxes\":0', boxes",
        "'\"boxes\":3', '\"boxes\":100001', boxes",
        "'\"boxes\":3', '\"boxes\":2.5', boxes",
        "'\"boxes\":3', '\"boxes\":\"3\"', boxes",
        "'\"vcpus\":1.0', '\"vcpus\":-1', vcpus",
        "'\"vcpus\":1.0', '\"vcpus\":1e300', vcpus",
        "'\"urgency\":\"normal\"', '\"urgency\":\"soon\"', urgency",
        "'\"haul\":\"array\"', '\"haul\":null', haul",
        "'\"fleets\":[\"a\"]', '\"fleets\":[1]', fleets",
        "'\"nameId\":\"job-7\"', '\"nameId\":\"task-7\"', nameId",
        "'\"oneZone\":false,', '', oneZone",
        "'\"dueS\":20.0', '\"dueS\":\"late\"', dueS",
    )
    fun `bad fields are named`(part: String, by: String, field: String) {
        val parsed = JobSpecCodec.parse(Json.read(job.replace(part, by).toByteArray()))
        assertEquals(field, (parsed as ParsedSubmission.Invalid).error.field)
    }

    @Test
    fun `cancellations survive their own wire form, and other bytes are none`() {
        val sent = listOf(Cancellation(JobId("job-7"), Revision(12)), Cancellation(JobId("job-000412"), Revision(1L shl 40)))
        val bytes = PeerMessageCodec.encodeCancellations(sent)
        assertEquals(sent.map { it.job to it.revision }, PeerMessageCodec.decodeCancellations(bytes)!!.map { it.job to it.revision })
        val random = Random(2)
        repeat(2000) {
            val broken = bytes.copyOf(random.nextInt(bytes.size))
            if (broken.size > 1) broken[random.nextInt(broken.size)] = random.nextInt(256).toByte()
            assertNull(PeerMessageCodec.decodeCancellations(broken))
        }
    }

    @Test
    fun `strict reading refuses other text than one value in UTF-8`() {
        assertNull(Json.readStrict(byteArrayOf('"'.code.toByte(), 0xC3.toByte(), '"'.code.toByte())))
        assertNull(Json.readStrict("{} {}".toByteArray()))
        assertNull(Json.readStrict("{".toByteArray()))
        assertTrue(Json.readStrict("{}".toByteArray())!!.isObject)
    }

    /** The plain way to read a report, by a tree: what the streaming one must agree with. */
    private fun plainHeartbeat(bytes: ByteArray): String? {
        val root = Json.read(bytes)?.takeIf { it.isObject } ?: return null
        val reportedTasks = root.fieldOrNull("boxes")
        if (reportedTasks != null && !reportedTasks.isArray) return null
        val read = reportedTasks?.map { node ->
            val task = node.stringOrNull("box")?.let { TaskId.parse(it) } ?: return null
            val state = ReportedTaskState.entries.firstOrNull { it.wireName == node.stringOrNull("status") } ?: return null
            val cause = node.stringOrNull("cause")?.let { word -> ExitCause.entries.firstOrNull { it.wireName == word } ?: ExitCause.OTHER }
            ReportedTask(task, Attempt(node.longOrNull("trip") ?: return null), state, cause)
        }
        return listOf(
            root.stringOrNull("truck") ?: return null,
            root.stringOrNull("addr")?.let { Endpoint.parse(it) } ?: return null,
            root.stringOrNull("fleet") ?: return null,
            root.stringOrNull("depot") ?: return null,
            root.booleanOrNull("borrowed") ?: return null,
            root.longOrNull("shift") ?: return null,
            root.longOrNull("tally") ?: return null,
            root.longOrNull("baton") ?: 0L,
            root.doubleOrNull("recallS"),
            read.orEmpty(),
        ).toString()
    }

    private fun asText(heartbeat: Heartbeat) = with(heartbeat) {
        listOf(machine, endpoint, type, zone, spot, epoch, sequenceNumber, fencingToken, evictionNoticeSeconds, reportedTasks).toString()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `reports read in a stream are those that a tree gives`(seed: Long) {
        val random = Random(seed)
        val odd = listOf("null", "7", "-1", "1.5", "\"x\"", "true", "[]", "[1,{}]", "{}", "{\"a\":[2]}", "\"job-1/0\"", "\"ended\"", "1e3")
        val whole = """{"truck":"i-1","addr":"10.0.0.1:9000","fleet":"g","depot":"a","borrowed":true,"shift":1,"tally":8,
            "baton":4,"recallS":null,"boxes":[{"box":"job-1/3","trip":2,"status":"running"},
            {"box":"job-2/0","trip":1,"status":"ended","cause":"done"}],"more":{"boxes":[1]}}"""
        val values = Regex(":(\"[^\"]*\"|[0-9]+|true|null)").findAll(whole).map { it.groups[1]!!.range }.toList()
        var sound = 0
        repeat(500) {
            var text = whole
            values.filter { random.nextInt(8) == 0 }.reversed().forEach { text = text.replaceRange(it, odd[random.nextInt(odd.size)]) }
            if (random.nextInt(10) == 0) text = text.take(random.nextInt(text.length))
            val read = WorkerMessageCodec.decodeHeartbeat(text.toByteArray())
            assertEquals(plainHeartbeat(text.toByteArray()), read?.let(::asText), text)
            if (read != null) sound++
        }
        assertTrue(sound in 20..480, "$sound sound ones")
    }

    @Test
    fun `bad reports are no reports`() {
        assertNull(WorkerMessageCodec.decodeHeartbeat("[]".toByteArray()))
        assertNull(WorkerMessageCodec.decodeHeartbeat("""{"truck":"i-1"}""".toByteArray()))
    }

    @Test
    fun `a peer status survives its buffer, and a torn one is refused`() {
        val room = MachineAvailability(
            MachineName("i-1"),
            "a",
            "z",
            spot = true,
            usable = true,
            worthKeeping = true,
            idleMillis = 5,
            free = Resources(1.0, 2.0, 3.0),
            preemptible = listOf(Resources.ZERO, Resources(4.0, 0.0, 1.0)),
            images = listOf(ImageName("img-1")),
        )
        val status = PeerStatus(
            MemberId("m"),
            Incarnation(3),
            Revision(9),
            12,
            isLeader = true,
            listOf(ShardCapacity(ShardName("z.0"), FencingToken(4), listOf(room))),
            listOf(ShardName("z.1")),
            listOf(MachineName("i-2")),
            desiredWritesPerSecond = 12.5,
        )
        val bytes = PeerMessageCodec.encodeStatus(status)
        val again = PeerMessageCodec.decodeStatus(bytes)!!
        assertEquals(status.knownRevision, again.knownRevision)
        assertEquals(room.preemptible, again.shards[0].machines[0].preemptible)
        assertEquals(status.machinesToRetire, again.machinesToRetire)
        for (cut in 0 until bytes.size) assertNull(PeerMessageCodec.decodeStatus(bytes.copyOf(cut)))
    }

    @Test
    fun `a bad setting is named`() {
        val fault =
            assertThrows(
                InvalidSettingException::class.java,
            ) { PlatformSettingsParser.parse("""{"outside":{},"deployment":{}}""".toByteArray()) }
        assertTrue(fault.message!!.contains("workers"))
        assertThrows(InvalidSettingException::class.java) { PlatformSettingsParser.parse("no".toByteArray()) }
    }
}
