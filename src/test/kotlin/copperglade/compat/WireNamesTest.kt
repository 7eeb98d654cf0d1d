package copperglade.compat

import copperglade.protocol.Attempt
import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Command
import copperglade.protocol.ExitCause
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobStatus
import copperglade.protocol.JobSummary
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.Priority
import copperglade.protocol.ReportedTaskState
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId
import copperglade.protocol.UserApiCodec
import copperglade.protocol.WorkerMessageCodec
import copperglade.storage.Keys
import copperglade.storage.ParsedKey
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks the names in messages, keys and stored records against literals, since renaming code must not change these names. */
class WireNamesTest {
    @Test
    fun `keys of the state service have their stored names`() {
        assertEquals(listOf("cg/", "cg/now/", "cg/over/", "cg/now/lead"), listOf(Keys.ROOT, Keys.CURRENT, Keys.ENDED, Keys.LEADER))
        assertEquals("cg/now/live/job-000412", Keys.live(JobId("job-000412")))
        assertEquals("cg/over/job-000412", Keys.ended(JobId("job-000412")))
        assertEquals("cg/now/task/array/", Keys.assignmentRecords(JobKind.ARRAY))
        assertEquals("cg/now/task/service/", Keys.assignmentRecords(JobKind.SERVICE))
        assertEquals("cg/now/work/north.0/", Keys.outcomeRecords(ShardName("north.0")))
        assertEquals("cg/now/block/north.0", Keys.shard(ShardName("north.0")))
        assertEquals("cg/now/images/north.0", Keys.images(ShardName("north.0")))
        assertEquals("cg/now/member/lorry-0", Keys.member(MemberId("lorry-0")))
        assertEquals("cg/now/room/lorry-0", Keys.peerStatus(MemberId("lorry-0")))
    }

    @Test
    fun `a task range has 256 tasks`() = assertEquals(256, Keys.TASKS_PER_RANGE)

    @Test
    fun `keys are parsed to their kinds, and unknown keys to null`() {
        assertEquals("Live job-7", parse("cg/now/live/job-7"))
        assertEquals("Over job-7", parse("cg/over/job-7"))
        assertEquals("Assignments", parse("cg/now/task/array/3"))
        assertEquals("Assignments", parse("cg/now/task/service/3"))
        assertEquals("Outcomes north.0", parse("cg/now/work/north.0/3"))
        assertEquals("Block north.0", parse("cg/now/block/north.0"))
        assertEquals("Images north.0", parse("cg/now/images/north.0"))
        assertEquals("Room lorry-0", parse("cg/now/room/lorry-0"))
        assertEquals("Member lorry-0", parse("cg/now/member/lorry-0"))
        assertEquals("Leader", parse("cg/now/lead"))
        // A later version may write keys of other kinds.
        assertNull(parse("cg/now/later/job-7"))
        assertNull(parse("cg/later/job-7"))
    }

    private fun parse(key: String): String? = when (val parsedKey = Keys.parse(key)) {
        null -> null
        is ParsedKey.Live -> "Live ${parsedKey.job}"
        is ParsedKey.Ended -> "Over ${parsedKey.job}"
        ParsedKey.Assignments -> "Assignments"
        is ParsedKey.Outcomes -> "Outcomes ${parsedKey.shard}"
        is ParsedKey.Shard -> "Block ${parsedKey.name}"
        is ParsedKey.Images -> "Images ${parsedKey.shard}"
        is ParsedKey.PeerStatus -> "Room ${parsedKey.id}"
        is ParsedKey.Member -> "Member ${parsedKey.id}"
        ParsedKey.Leader -> "Leader"
    }

    @Test
    fun `statuses in end records have their stored names`() {
        assertTrue(JobStatus.entries.map { it.name }.containsAll(listOf("DONE", "CANCELLED")))
    }

    @Test
    fun `paths between controllers have their wire names`() {
        assertEquals(
            listOf("/note", "/vouch", "/cancelled"),
            listOf(PeerMessageCodec.STATUS_PATH, PeerMessageCodec.ENDORSEMENT_PATH, PeerMessageCodec.CANCELLATIONS_PATH),
        )
    }

    @Test
    fun `paths of users and workers have their wire names`() {
        assertEquals(
            listOf("/submissions", "/healthz", "cancel"),
            listOf(UserApiCodec.JOBS_PATH, UserApiCodec.HEALTH_PATH, UserApiCodec.CANCEL_SUFFIX),
        )
        assertEquals(listOf("/checkin", "/do"), listOf(WorkerMessageCodec.HEARTBEAT_PATH, WorkerMessageCodec.COMMAND_PATH))
    }

    @Test
    fun `job kinds and priorities have their wire names`() {
        assertEquals(listOf("array", "daemon", "ensemble"), JobKind.entries.map { it.wireName })
        assertEquals(listOf("prod", "urgent", "normal", "best_effort"), Priority.entries.map { it.wireName })
    }

    @Test
    fun `answers to users have their wire names`() {
        val id = JobId("job-7")
        assertEquals(listOf("queued", "running", "done", "aborted"), JobStatus.entries.map { it.wireName })
        assertEquals(
            """{"nameId":"job-7","status":"running","done":2,"running":3}""",
            UserApiCodec.encodeSummary(JobSummary(id, JobStatus.RUNNING, tasksDone = 2, tasksRunning = 3)).decodeToString(),
        )
        assertEquals("""{"nameId":"job-7","status":"aborted"}""", UserApiCodec.encodeStatus(id, JobStatus.CANCELLED).decodeToString())
        assertEquals("""{"error":"no such job"}""", UserApiCodec.encodeError("no such job").decodeToString())
        assertEquals("""{"error":"boxes: missing","field":"boxes"}""", UserApiCodec.encodeError("boxes: missing", "boxes").decodeToString())
    }

    @Test
    fun `answers and commands to workers have their wire names`() {
        val task = TaskId(JobId("job-7"), 3)
        val commands =
            listOf(Command.Start(task, Attempt(9)), Command.Stop(task, Attempt(8), graceSeconds = 2.5), Command.Remove(task, Attempt(7)))
        val dispatches = """"dispatches":[{"order":"start","box":"job-7/3","trip":9},""" +
            """{"order":"halt","box":"job-7/3","trip":8,"leewayS":2.5},{"order":"reap","box":"job-7/3","trip":7}]"""
        assertEquals("""{"baton":4,$dispatches}""", WorkerMessageCodec.encodeHeartbeatReply(FencingToken(4), commands).decodeToString())
        assertEquals(
            """{"baton":4,"shift":2,$dispatches}""",
            WorkerMessageCodec.encodeCommands(FencingToken(4), epoch = 2, commands).decodeToString(),
        )
        assertEquals(
            """{"baton":4,"shift":2,"dispatches":[{"order":"start","box":"job-7/100000","trip":9}]}""",
            WorkerMessageCodec
                .encodeCommands(FencingToken(4), epoch = 2, listOf(Command.RequestHeartbeat(JobId("job-7"), Attempt(9))))
                .decodeToString(),
        )
        assertEquals("""{"dispatcher":"lorry-1"}""", WorkerMessageCodec.encodeRedirect(MemberId("lorry-1")).decodeToString())
        assertEquals("{}", WorkerMessageCodec.encodeRedirect(null).decodeToString())
    }

    @Test
    fun `heartbeats of workers are decoded from their wire names`() {
        assertEquals(listOf("pulling", "waiting", "running", "saving", "ended"), ReportedTaskState.entries.map { it.wireName })
        assertEquals(listOf("done", "halted", "error", "full", "busy", "no_such", "other"), ExitCause.entries.map { it.wireName })
        val text = """{"truck":"i-1","addr":"10.0.0.1:9000","fleet":"g","depot":"a","borrowed":true,"shift":1,"tally":8,
            "baton":4,"recallS":2.5,"boxes":[{"box":"job-1/3","trip":2,"status":"ended","cause":"halted"}]}"""
        val heartbeat = WorkerMessageCodec.decodeHeartbeat(text.toByteArray())!!
        assertEquals(
            listOf("i-1", "10.0.0.1:9000", "g", "a"),
            listOf(heartbeat.machine.text, "${heartbeat.endpoint}", heartbeat.type, heartbeat.zone),
        )
        assertEquals(listOf(1L, 8L, 4L), listOf(heartbeat.epoch, heartbeat.sequenceNumber, heartbeat.fencingToken.number))
        assertEquals(true to 2.5, heartbeat.spot to heartbeat.evictionNoticeSeconds)
        val reportedTask = heartbeat.reportedTasks.single()
        assertEquals("job-1/3" to 2L, "${reportedTask.task}" to reportedTask.attempt.number)
        assertEquals(ReportedTaskState.EXITED to ExitCause.STOPPED, reportedTask.state to reportedTask.cause)
    }

    /** The number of an attempt must identify the shard ownership by its fencing token, whichever version chose the number. */
    @Test
    fun `the number of an attempt starts with the fencing token`() = assertEquals(5L * 1_048_576 + 3, Attempt.of(FencingToken(5), 3).number)

    @Test
    fun `requests to the cloud have their wire names`() {
        assertEquals(
            """{"hire":"r-1","fleet":"box","depot":"north","borrowed":true,"howMany":3}""",
            CloudApiCodec.encodeRental("r-1", "box", "north", spot = true, count = 3).decodeToString(),
        )
        assertEquals(
            """{"trucks":["i-1","i-2"]}""",
            CloudApiCodec.encodeDeletion(listOf(MachineName("i-1"), MachineName("i-2"))).decodeToString(),
        )
    }
}
