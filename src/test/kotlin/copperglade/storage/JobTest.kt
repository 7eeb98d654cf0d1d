package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.sim.SimSite
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet

class JobTest {
    private fun bits(vararg tasks: Int) = BitSet().apply { tasks.forEach { set(it) } }

    @Test
    fun `a task stays assigned until the task is done or returned with the assignment's generation`() {
        val job = Job(JobId("job-1"))
        job.live = StoredRecord(LiveRecord(SimSite.job(1, tasks = 4), 0, cancelled = false), Revision(1))
        val shard = ShardName("north.0")
        job.setAssignmentRange(
            0,
            PackedEntry(
                AssignmentRange(listOf(AssignmentGroup(shard, FencingToken(5), 2, bits(0, 1, 2))), BitSet(), 2, 3, 1),
                "record",
                RecordCodec::encode,
            ),
        )
        // Task 0 was returned with an earlier generation, task 1 with the current one; task 2 is done.
        val outcome = OutcomeRecord(bits(2), mapOf(1 to bits(0), 2 to bits(1)), BitSet(), 1)
        job.setOutcome(ShardTaskRange(0, shard), PackedEntry(outcome, "record", RecordCodec::encode))
        assertEquals(listOf(0), job.assignments().map { it.task })
        assertEquals(JobStatus.RUNNING, job.status())
    }

    @Test
    fun `a job whose tasks were all done before the cancellation has status DONE`() {
        val job = Job(JobId("job-1"))
        job.live = StoredRecord(LiveRecord(SimSite.job(1, tasks = 1), 0, cancelled = true), Revision(1))
        assertEquals(JobStatus.CANCELLED, job.status())
        job.done.set(0)
        assertEquals(JobStatus.DONE, job.status())
    }
}
