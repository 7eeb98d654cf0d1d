package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Priority
import copperglade.protocol.Revision
import copperglade.sim.SimSite
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random

/** Compares the dependency graph with [PipelineModel], and tests cases outside the model: marks received early, evicted end records. */
class DependencyGraphTest {
    /** The jobs and end records that a replica would hold, with the graph under test. */
    private class Records(private val runSeconds: Double = 0.0) {
        val jobs = HashMap<JobId, Job>()
        val ends = HashMap<JobId, EndRecord>()
        var knownRevision = Revision(1)
        val graph = DependencyGraph(jobs, ends::get, { knownRevision }, { 0L }) { runSeconds }

        fun accept(job: PipelineJob) {
            val spec = specOf(job)
            jobs.getOrPut(job.id) { Job(job.id) }.live =
                StoredRecord(LiveRecord(spec, 0, cancelled = false, job.dependencies.toList()), next())
            graph.update(listOf(job.id))
        }

        fun complete(id: JobId) {
            jobs.getValue(id).done.set(0)
            graph.update(listOf(id))
        }

        fun mark(id: JobId, confirmed: Boolean = true) {
            val live = jobs[id]?.live ?: return
            val revision = if (confirmed) next() else Revision(knownRevision.number + 1)
            jobs.getValue(id).live = StoredRecord(live.value.withCancelledMark(), revision)
            graph.update(listOf(id))
        }

        /** Advances the known revision past all writes, and applies the cancelled mark of [id] again, as the watch does. */
        fun catchUp(id: JobId) {
            next()
            graph.update(listOf(id))
        }

        /** Replaces the job's live record with its end record, as the leader's transaction does. */
        fun end(id: JobId) {
            val job = jobs.remove(id) ?: return
            ends[id] = EndRecord(if (job.complete) JobStatus.DONE else JobStatus.CANCELLED, job.done.cardinality())
            graph.update(listOf(id))
        }

        /** Reloads all live records into new [Job] objects. */
        fun reload() {
            val before = HashMap(jobs)
            jobs.clear()
            for ((id, old) in before) {
                jobs[id] = Job(id).also {
                    it.live = old.live
                    it.done.or(old.done)
                }
            }
            graph.rebuild()
        }

        private fun next(): Revision {
            knownRevision = Revision(knownRevision.number + 1)
            return knownRevision
        }

        private fun specOf(job: PipelineJob): JobSpec =
            SimSite.job(
                job.id.text
                    .removePrefix("job-")
                    .toInt(),
                tasks = 1,
                priority = job.priority.wireName,
                deadlineSeconds = job.dueAtSeconds,
            )
    }

    private fun id(number: Int) = JobId("job-$number")

    private fun job(number: Int, vararg dependencies: Int, priority: Priority = Priority.NORMAL, dueAtSeconds: Double? = null) =
        PipelineJob(id(number), dependencies.map(::id).toSet(), priority, dueAtSeconds)

    private fun statusByModel(model: PipelineModel, id: JobId): JobStatus = when {
        model.isDone(id) -> JobStatus.DONE
        model.isAborted(id) -> JobStatus.CANCELLED
        else -> JobStatus.QUEUED
    }

    private fun compare(records: Records, model: PipelineModel) {
        for (id in model.ids) {
            val job = records.jobs[id]
            val status = job?.status() ?: records.ends.getValue(id).status
            assertEquals(statusByModel(model, id), status, "$id")
            if (job == null) continue
            assertEquals(model.isBlocked(id), job.blocked && !job.cancelled, "$id blocked")
            model.effectivePriority(id)?.let { assertEquals(it, job.spec?.priority, "$id priority") }
            if (!model.isDone(id) && !model.isAborted(id)) {
                assertEquals(model.tightestDueSeconds(id), job.deadline?.dueInSeconds(1.0, 0), "$id due")
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20])
    fun `states, priorities and deadlines match the model after random job ends and reloads`(seed: Long) {
        val random = Random(seed * 31)
        val records = Records()
        var ended = 0
        RandomPipelines(Random(seed)).play(jobs = 24) { step, model ->
            when (step) {
                is RandomPipelines.Step.Submit -> records.accept(step.job)
                is RandomPipelines.Step.Complete -> records.complete(step.id)
                is RandomPipelines.Step.Cancel -> records.mark(step.id)
            }
            if (random.nextInt(4) == 0) {
                val finished = model.ids.filter { it in records.jobs && (model.isDone(it) || model.isAborted(it)) }
                finished.filter { random.nextInt(2) == 0 }.shuffled(random).forEach {
                    records.end(it)
                    ended++
                }
            }
            if (random.nextInt(15) == 0) records.reload()
            compare(records, model)
        }
        assertTrue(ended > 8, "expected more than 8 ended jobs, but only $ended ended")
    }

    @Test
    fun `a cancelled mark received ahead of the watch aborts no dependents, because the job may still become done`() {
        val records = Records()
        records.accept(job(1))
        records.accept(job(2, 1))
        records.mark(id(1), confirmed = false)
        assertFalse(records.jobs.getValue(id(2)).cancelled)
        records.complete(id(1))
        records.catchUp(id(1))
        assertEquals(JobStatus.DONE, records.jobs.getValue(id(1)).status())
        assertFalse(records.jobs.getValue(id(2)).blocked)
        assertFalse(records.jobs.getValue(id(2)).cancelled)
    }

    @Test
    fun `a cancelled mark confirmed by the watch aborts all dependents`() {
        val records = Records()
        records.accept(job(1))
        records.accept(job(2, 1))
        records.accept(job(3, 2))
        records.mark(id(1), confirmed = false)
        records.catchUp(id(1))
        assertEquals(listOf(true, true, true), (1..3).map { records.jobs.getValue(id(it)).cancelled })
    }

    @Test
    fun `a job stays blocked until the end record of a dependency that ended before the process start is read`() {
        val records = Records()
        records.accept(job(2, 1))
        records.accept(job(3, 2))
        assertEquals(listOf(id(1)), records.graph.unknownDependencies())
        assertTrue(records.graph.hasUnknownDependencies(id(3)))
        assertTrue(records.jobs.getValue(id(2)).blocked)
        records.ends[id(1)] = EndRecord(JobStatus.CANCELLED, 0)
        records.graph.update(listOf(id(1)))
        assertFalse(records.graph.hasUnknownDependencies(id(3)))
        assertTrue(records.jobs.getValue(id(3)).cancelled)
    }

    @Test
    fun `a final outcome is kept after its end record is evicted and all records are reloaded`() {
        val records = Records()
        records.accept(job(1))
        records.accept(job(2, 1, 9))
        records.complete(id(1))
        records.end(id(1))
        records.ends.clear()
        records.reload()
        assertEquals(listOf(id(9)), records.graph.unknownDependencies())
    }

    @Test
    fun `predicted run times of the jobs between a job and an inherited deadline make the job due earlier`() {
        val records = Records(runSeconds = 10.0)
        records.accept(job(1, dueAtSeconds = 500.0))
        records.accept(job(2, 1))
        records.accept(job(3, 2, priority = Priority.HIGH, dueAtSeconds = 100.0))
        val jobs = (1..3).map { records.jobs.getValue(id(it)) }
        assertEquals(listOf(80.0, 90.0, 100.0), jobs.map { it.deadline?.dueInSeconds(1.0, 0) })
        assertEquals(listOf(Priority.HIGH, Priority.HIGH, Priority.HIGH), jobs.map { it.spec?.priority })
        assertEquals(
            Priority.NORMAL,
            jobs[0]
                .live
                ?.value
                ?.spec
                ?.priority,
        )
        records.mark(id(3))
        assertEquals(500.0, jobs[0].deadline?.dueInSeconds(1.0, 0))
        assertEquals(Priority.NORMAL, jobs[0].spec?.priority)
    }

    @Test
    fun `an update returns only the dependents of the changed jobs`() {
        val records = Records()
        repeat(200) { records.accept(job(1000 + it)) }
        records.accept(job(1))
        records.accept(job(2, 1))
        assertEquals(emptySet<JobId>(), records.graph.update(listOf(id(1000))))
        records.jobs
            .getValue(id(1))
            .done
            .set(0)
        assertEquals(setOf(id(2)), records.graph.update(listOf(id(1))))
    }
}
