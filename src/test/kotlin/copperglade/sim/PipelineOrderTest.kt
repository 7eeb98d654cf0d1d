package copperglade.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Jobs that depend on others start in order. Each test first asserts that its scenario occurred. */
class PipelineOrderTest {
    @ParameterizedTest
    @CsvSource("CHAIN,501", "CHAIN,502", "DIAMOND,503", "DIAMOND,504", "FAN,505", "FAN,506")
    fun `each job starts when all its dependencies are done, and all jobs are done`(shape: PipelineShape, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 5.0)
        val last = shape.levels.last().single()
        // A service may depend on arrays.
        site.submit(SimSite.job(500, tasks = 2, service = true, spot = false), listOf(id(last))) { null }
        site.run(60.0)
        site.assertRulesHold()
        site.assertStatus("done", shape.jobs)
        assertEquals(2, site.runningTasks().keys.count { it.job == id(500) }, "the service does not run")
        for ((job, jobDependencies) in shape.dependencies) {
            val releasedAtMillis = jobDependencies.maxOf { site.user(it).completedAtMillis!! }
            val waitedMillis = site.user(job).firstStartAtMillis!! - releasedAtMillis
            assertTrue(waitedMillis in 0.0..MAX_RELEASE_DELAY_MILLIS, "job-$job started $waitedMillis ms after its release")
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [511, 512])
    fun `a job may depend on one that was done long ago, also before the controllers started`(seed: Long) {
        val site = SimSite(Simulation(seed), endedBefore = 3)
        site.submit(SimSite.job(1, tasks = 3)) { 4.0 }
        site.submit(SimSite.job(2, tasks = 1), listOf(id(1))) { 4.0 }
        site.await(60.0) { site.user(2).status == "done" }
        site.run(60.0)
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(15.0)
        site.submit(SimSite.job(3, tasks = 2), listOf(id(1), id(2), id(SimSite.FIRST_ENDED_JOB), id(SimSite.FIRST_ENDED_JOB + 2))) { 4.0 }
        site.submit(SimSite.job(4, tasks = 2), listOf(id(3), id(1))) { 4.0 }
        site.assertRulesHold()
        site.assertStatus("done", listOf(3, 4))
    }

    @ParameterizedTest
    @ValueSource(longs = [516, 517])
    fun `a dependent job that is submitted while its dependency runs starts after it`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 2, estimatedSeconds = 30.0)) { 30.0 }
        site.awaitRunning(1)
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(6.0)
        // A dependency that is named twice counts once.
        site.submit(SimSite.job(2, tasks = 2), listOf(id(1), id(1))) { 4.0 }
        site.await(10.0) { site.user(2).accepted }
        assertTrue(site.isRunning(1), "job-1 had ended already")
        site.assertRulesHold()
        site.assertStatus("done", listOf(1, 2))
    }

    private companion object {
        /** The longest delay from a job's release to its start, whether there is capacity for it or a machine has to be launched. */
        const val MAX_RELEASE_DELAY_MILLIS = 30_000.0
    }
}
