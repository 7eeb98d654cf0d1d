package copperglade.safety

import copperglade.membership.ActionAuthority
import copperglade.protocol.Attempt
import copperglade.protocol.Command
import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobStatus
import copperglade.protocol.MachineName
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.SimSite
import copperglade.sim.Simulation
import copperglade.standin.StandInState
import copperglade.storage.AssignmentGroup
import copperglade.storage.AssignmentRange
import copperglade.storage.EndRecord
import copperglade.storage.Keys
import copperglade.storage.LiveRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import copperglade.storage.TaskRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** Actions from code paths without the earlier check: the final check refuses each of them and records a violation. */
class ActionGuardTest {
    private class FakeAuthority(override var mayAct: Boolean = true, override var mayStartTasks: Boolean = true) : ActionAuthority

    private val startable = JobId("job-1")
    private val cancelled = JobId("job-2")
    private val blocked = JobId("job-3")
    private val ended = JobId("job-4")
    private val cancelledAndEnded = JobId("job-5")
    private val unknown = JobId("job-99")
    private val machine = MachineName("i-1")
    private val authority = FakeAuthority()
    private val reported = ArrayList<InvariantViolation>()
    private val replica = loadedReplica()
    private val guard = ActionGuard(replica, authority, InvariantViolations { reported += it })

    private fun loadedReplica(): Replica {
        val sim = Simulation(1)
        val loop = SimLoop(sim)
        val network = SimNetwork(sim)
        val state = StandInState(loop)
        network.listen(STATE, "state", loop, state)

        fun live(id: JobId, cancelled: Boolean = false, awaits: List<JobId> = emptyList()) {
            val spec = SimSite.job(id.text.substringAfter('-').toInt(), tasks = 2)
            state.put(Keys.live(id), RecordCodec.encode(LiveRecord(spec, 0, cancelled, awaits)))
        }
        live(startable)
        live(cancelled, cancelled = true)
        live(blocked, awaits = listOf(startable))
        state.put(Keys.ended(ended), RecordCodec.encode(EndRecord(JobStatus.DONE, 2)))
        state.put(Keys.ended(cancelledAndEnded), RecordCodec.encode(EndRecord(JobStatus.CANCELLED, 0)))
        val group = AssignmentGroup(ShardName("north.0"), FencingToken(1), 1, BitSet().also { it.set(0) })
        val taskRange = RecordCodec.encode(AssignmentRange(listOf(group), BitSet(), 1, 1, 1))
        state.put("${Keys.assignmentRecords(JobKind.ARRAY)}0", RecordCodec.encodePackedRecord(mapOf(TaskRange(cancelled, 0) to taskRange)))
        val replica = Replica(loop, StateClient(loop, network.callerOf("node", loop), STATE, StateLimits(1e3, 1e3, 4.0, 12)))
        replica.start()
        sim.run(500.0)
        listOf(ended, cancelledAndEnded).forEach { replica.readEndRecord(it) {} }
        sim.run(500.0)
        return replica
    }

    private fun start(job: JobId) = Command.Start(TaskId(job, 0), Attempt(1))

    private fun heartbeat(jobs: List<JobId>) = Heartbeat(
        machine,
        Endpoint("10.0.0.1", 9000),
        "box",
        "north",
        spot = false,
        epoch = 1,
        sequenceNumber = 1,
        fencingToken = FencingToken(1),
        evictionNoticeSeconds = null,
        reportedTasks = jobs.map { ReportedTask(TaskId(it, 0), Attempt(1), ReportedTaskState.RUNNING, null) },
    )

    private fun assertReported(vararg invariants: Invariant) = assertEquals(invariants.toList(), reported.map { it.invariant })

    @Test
    fun `the reason for refusing a start depends on the job's records and the authority to act`() {
        val refusals = listOf(startable, cancelled, blocked, ended, cancelledAndEnded, unknown).map { guard.refusalToStart(TaskId(it, 0)) }
        val expected =
            listOf(null, Refusal.JOB_CANCELLED, Refusal.JOB_BLOCKED, Refusal.JOB_ENDED, Refusal.JOB_ENDED, Refusal.UNKNOWN_JOB)
        assertEquals(expected, refusals)
        authority.mayStartTasks = false
        assertEquals(Refusal.STALE_SNAPSHOT, guard.refusalToStart(TaskId(startable, 0)))
        authority.mayAct = false
        assertEquals(Refusal.NO_AUTHORITY, guard.refusalToStart(TaskId(startable, 0)))
    }

    @Test
    fun `a start command without the earlier check is not sent`() {
        val sent = guard.approveCommands(machine, listOf(start(cancelled), start(startable), start(blocked)))
        assertEquals(listOf<Command>(start(startable)), sent)
        assertReported(Invariant.START_PERMITTED, Invariant.START_PERMITTED)
    }

    @Test
    fun `a start command is never sent directly`() {
        val others = listOf(Command.Stop(TaskId(startable, 0), Attempt(1), 0.0), Command.RequestHeartbeat(startable, Attempt(1)))
        assertEquals(others, guard.approveDirectCommands(machine, others + start(startable)))
        assertReported(Invariant.START_WITH_RESPONSE)
    }

    @Test
    fun `missing required stops are added to an answer`() {
        val heartbeat = heartbeat(listOf(startable, cancelled, ended, cancelledAndEnded, unknown))
        val stops = guard.approveAnswer(heartbeat, emptyList()).map { it.task.job }
        assertEquals(listOf(cancelled, ended, cancelledAndEnded), stops)
        assertReported(Invariant.ANSWER_STOPS_ENDED_TASKS)
        assertEquals(guard.requiredStops(heartbeat), guard.approveAnswer(heartbeat, guard.requiredStops(heartbeat)))
        assertReported(Invariant.ANSWER_STOPS_ENDED_TASKS)
    }

    @Test
    fun `no message is sent without the authority to act`() {
        assertTrue(guard.approveSending("a command"))
        authority.mayAct = false
        assertFalse(guard.approveSending("a command"))
        assertReported(Invariant.SENT_WITH_AUTHORITY)
    }

    @Test
    fun `a job that is not done, or may still be on a machine, is not ended`() {
        val jobs = listOf(startable, cancelled).map { replica.jobs.getValue(it) }
        assertEquals(
            1,
            replica.jobs
                .getValue(cancelled)
                .assignments()
                .size,
        )
        assertTrue(guard.approveEnds(jobs).isEmpty())
        assertReported(Invariant.ENDED_WITHOUT_ASSIGNMENTS, Invariant.ENDED_WITHOUT_ASSIGNMENTS)
    }

    @Test
    fun `a job keeps its cancelled status after its end`() {
        assertTrue(guard.isCancelled(cancelled))
        assertTrue(guard.isCancelled(cancelledAndEnded))
        assertFalse(guard.isCancelled(ended))
        assertTrue(guard.isEndedOrCancelled(ended))
        assertFalse(guard.isEndedOrCancelled(startable))
        assertFalse(guard.isEndedOrCancelled(unknown))
        assertNull(replica.endRecordOf(unknown))
    }

    private companion object {
        val STATE = Endpoint("10.2.0.1", 2379)
    }
}
