package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random

/** Tests the reference model that [DependencyGraphTest] compares [DependencyGraph] with. */
class PipelineModelTest {
    private fun id(number: Int) = JobId("job-$number")

    private fun diamond() = PipelineModel().apply {
        add(PipelineJob(id(1), emptySet(), Priority.LOW))
        add(PipelineJob(id(2), setOf(id(1)), Priority.NORMAL, dueAtSeconds = 50.0))
        add(PipelineJob(id(3), setOf(id(1)), Priority.NORMAL, dueAtSeconds = 80.0))
        add(PipelineJob(id(4), setOf(id(2), id(3)), Priority.HIGH, dueAtSeconds = 70.0))
    }

    @Test
    fun `the jobs of a diamond graph are released in the order of their dependencies`() {
        val model = diamond()
        assertEquals(listOf(id(1)), model.ids.filter(model::isReleased))
        model.markDone(id(1))
        assertEquals(listOf(id(2), id(3)), model.ids.filter(model::isReleased))
        model.markDone(id(2))
        assertTrue(model.isBlocked(id(4)))
        model.markDone(id(3))
        assertTrue(model.isReleased(id(4)))
    }

    @Test
    fun `a cancellation aborts the dependents that are not done, and no other job`() {
        val model = diamond()
        model.markDone(id(1))
        model.markCancelled(id(1))
        assertFalse(model.ids.any(model::isAborted))
        model.markCancelled(id(2))
        assertEquals(listOf(id(2), id(4)), model.ids.filter(model::isAborted))
        assertTrue(model.isReleased(id(3)))
    }

    @Test
    fun `a job inherits the highest priority and earliest deadline of its pending dependents`() {
        val model = diamond()
        assertEquals(Priority.HIGH, model.effectivePriority(id(1)))
        assertEquals(50.0, model.tightestDueSeconds(id(1)))
        assertEquals(70.0, model.tightestDueSeconds(id(3)))
        model.markCancelled(id(4))
        assertEquals(Priority.NORMAL, model.effectivePriority(id(1)))
        assertNull(model.effectivePriority(id(4)))
        model.markCancelled(id(2))
        assertEquals(80.0, model.tightestDueSeconds(id(1)))
    }

    /** Checks one random history of 30 jobs; returns how many of the jobs were done. */
    private fun checkedHistory(seed: Long): Int {
        val ended = HashMap<JobId, Boolean>()
        val model = RandomPipelines(Random(seed)).play(jobs = 30) { _, now ->
            for (id in now.ids) {
                val states = listOf(now.isBlocked(id), now.isReleased(id), now.isDone(id), now.isAborted(id))
                assertEquals(1, states.count { it }, "$id: $states")
                if (now.isDone(id) || now.isAborted(id)) assertEquals(now.isDone(id), ended.getOrPut(id) { now.isDone(id) }, "$id")
                if (now.isDone(id) || now.isReleased(id)) assertTrue(now.predecessors(id).all(now::isDone), "$id")
            }
            assertTrue(ended.keys.all { now.isDone(it) || now.isAborted(it) })
        }
        assertEquals(30, ended.size, "some jobs have not ended")
        assertTrue(model.ids.any { model.predecessors(it).size > model.dependencies(it).size }, "no job has an indirect dependency")
        return model.ids.count(model::isDone)
    }

    @Test
    fun `each job is in exactly one state, final states never change, and both final states are common`() {
        val done = (1L..40L).map(::checkedHistory)
        assertTrue(done.count { it in 5..25 } >= 10, "jobs done of 30, by seed: $done")
    }
}
