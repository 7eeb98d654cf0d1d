package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.sim.SimSite
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random

class RecordsTest {
    private fun bits(vararg tasks: Int) = BitSet().apply { tasks.forEach { set(it) } }

    @Test
    fun `ranges are what a plain list of the set says`() {
        val random = Random(5)
        repeat(200) {
            val set = BitSet()
            repeat(random.nextInt(40)) { set.set(random.nextInt(60)) }
            val text = TaskIndexRanges.format(set)
            assertEquals(set, TaskIndexRanges.parse(text))
            val plain = text.split(',').filter { it.isNotEmpty() }.flatMap { part ->
                val ends = part.split('-').map { it.toInt() }
                (ends.first()..ends.last()).toList()
            }
            assertEquals(set.stream().toArray().toList(), plain)
        }
    }

    @Test
    fun `the most scattered page stays far below the smallest value limit`() {
        val odd = BitSet().apply { for (task in 99_744 until 100_000 step 2) set(task) }
        val page =
            AssignmentRange(listOf(AssignmentGroup(ShardName("saskatoon-rack.2"), FencingToken(1L shl 40), 9, odd)), odd, 9, 256, 1)
        assertTrue(RecordCodec.encode(page).size < 3000)
    }

    @Test
    fun `records survive their JSON`() {
        val work = RecordCodec.decodeOutcome(Json.read(RecordCodec.encode(OutcomeRecord(bits(1, 2), mapOf(3 to bits(4)), bits(5), 8)))!!)
        assertEquals(listOf(bits(1, 2), mapOf(3 to bits(4)), bits(5), 8), listOf(work.done, work.returned, work.restarted, work.version))
        val page = RecordCodec.decodeAssignmentRange(
            Json.read(RecordCodec.encode(AssignmentRange(emptyList(), bits(2), lastGeneration = 7, frontier = 5, version = 9)))!!,
        )
        assertEquals(listOf(bits(2), 7, 5, 9), listOf(page.preemptedForGuarantee, page.lastGeneration, page.frontier, page.version))
    }

    @Test
    fun `an assignment stands until it is done or given back in its own generation`() {
        val job = Job(JobId("job-1"))
        job.live = StoredRecord(LiveRecord(SimSite.job(1, tasks = 4), 0, cancelled = false), Revision(1))
        val shard = ShardName("north.0")
        job.setAssignmentRange(
            0,
            PackedEntry(
                AssignmentRange(listOf(AssignmentGroup(shard, FencingToken(5), 2, bits(0, 1, 2))), BitSet(), 2, 3, 1),
                "sheet",
                RecordCodec::encode,
            ),
        )
        // Task 0 was given back in an earlier generation, task 1 in this one, task 2 is done.
        val work = OutcomeRecord(bits(2), mapOf(1 to bits(0), 2 to bits(1)), BitSet(), 1)
        job.setOutcome(ShardTaskRange(0, shard), PackedEntry(work, "sheet", RecordCodec::encode))
        assertEquals(listOf(0), job.assignments().map { it.task })
        assertEquals(JobStatus.RUNNING, job.status())
    }

    @Test
    fun `a job that was complete before its cancellation is done`() {
        val job = Job(JobId("job-1"))
        job.live = StoredRecord(LiveRecord(SimSite.job(1, tasks = 1), 0, cancelled = true), Revision(1))
        assertEquals(JobStatus.CANCELLED, job.status())
        job.done.set(0)
        assertEquals(JobStatus.DONE, job.status())
    }
}
