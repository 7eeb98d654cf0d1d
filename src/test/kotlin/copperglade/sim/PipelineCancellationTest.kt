package copperglade.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

/** Cancelling a job cancels its dependents. Each test first asserts that its scenario occurred. */
class PipelineCancellationTest {
    @ParameterizedTest
    @CsvSource(
        "CHAIN,0,521",
        "CHAIN,1,522",
        "CHAIN,2,523",
        "CHAIN,3,524",
        "DIAMOND,0,525",
        "DIAMOND,1,526",
        "DIAMOND,2,527",
        "FAN,0,528",
        "FAN,1,529",
        "FAN,2,530",
    )
    fun `cancelling a running job cancels all its dependents`(shape: PipelineShape, level: Int, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 8.0)
        val cancelled = shape.levels[level].last()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        site.run(SimSite.CANCEL_SECONDS)
        site.assertStatus("aborted", shape.dependentsOf(cancelled) + cancelled)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,1,531", "CHAIN,3,532", "DIAMOND,1,533", "DIAMOND,2,534", "FAN,1,535", "FAN,2,536")
    fun `cancelling a waiting job cancels all its dependents`(shape: PipelineShape, level: Int, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 8.0)
        site.awaitRunning(1)
        val cancelled = shape.levels[level].last()
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        site.cancelAndConfirm(cancelled)
        site.run(SimSite.CANCEL_SECONDS)
        site.assertStatus("aborted", shape.dependentsOf(cancelled) + cancelled)
        site.assertNeverStarted(listOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @ValueSource(longs = [541, 542, 543])
    fun `dependents follow the reported status when a cancellation races with the end of the last task`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(teamCpus = 100.0))
        val random = site.sim.random
        var racingCancellations = 0
        site.onJobComplete = { user ->
            if (user.dependencies.isEmpty()) {
                site.sim.after(random.nextInt(250).toDouble()) {
                    racingCancellations++
                    site.cancel(user.spec.id)
                }
            }
        }
        repeat(30) { number ->
            site.sim.after(number * 900.0) {
                site.submit(SimSite.job(100 + number, tasks = 1 + number % 2)) { 3.0 }
                site.submit(SimSite.job(200 + number, tasks = 1), listOf(id(100 + number))) { 3.0 }
                site.submit(SimSite.job(300 + number, tasks = 1), listOf(id(200 + number))) { 3.0 }
            }
        }
        site.run(60.0)
        assertTrue(racingCancellations >= 25, "$racingCancellations cancellations raced with the end of a job")
        site.assertRulesHold()
        val (done, cancelled) = (0 until 30).partition { site.user(100 + it).status == "done" }
        assertTrue(done.isNotEmpty() && cancelled.isNotEmpty(), "${done.size} done, ${cancelled.size} cancelled")
        site.assertStatus("done", done.flatMap { listOf(200 + it, 300 + it) })
        site.assertStatus("aborted", cancelled.flatMap { listOf(100 + it, 200 + it, 300 + it) })
        site.assertNeverStarted(cancelled.flatMap { listOf(200 + it, 300 + it) })
    }

    @ParameterizedTest
    @EnumSource(PipelineShape::class)
    fun `the status that controllers report right after a cancellation never reverts`(shape: PipelineShape) {
        val site = SimSite(Simulation(591L + shape.ordinal))
        site.submitAll(shape, workSeconds = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val callsBefore = site.network.requestsSent
        repeat(100) { iteration ->
            shape.dependentsOf(cancelled).forEach { dependent -> repeat(site.nodes) { site.poll(id(dependent), it) } }
            if (iteration == 20) site.cancel(id(cancelled))
            site.run(0.05)
        }
        assertTrue(site.network.requestsSent - callsBefore >= 300)
        site.assertStatus("aborted", listOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @ValueSource(longs = [601, 602])
    fun `a job that depends on a cancelled one is accepted and ends cancelled, and so do its dependents`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 2)) { 100.0 }
        site.submit(SimSite.job(2, tasks = 1)) { 4.0 }
        site.awaitRunning(1)
        site.cancelAndConfirm(1)
        site.submit(SimSite.job(3, tasks = 2), listOf(id(2), id(1))) { 4.0 }
        site.run(5.0)
        site.submit(SimSite.job(4, tasks = 2), listOf(id(3))) { 4.0 }
        site.run(60.0)
        // The cancelled job ended long ago; the restart clears what controllers have cached of it.
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(15.0)
        site.submit(SimSite.job(5, tasks = 2), listOf(id(1))) { 4.0 }
        site.submit(SimSite.job(6, tasks = 2), listOf(id(4), id(2))) { 4.0 }
        site.run(SimSite.CANCEL_SECONDS)
        assertEquals(listOf(201, 201, 201, 201), (3..6).map { site.user(it).acceptedStatus })
        site.assertStatus("aborted", listOf(1, 3, 4, 5, 6))
        site.assertNeverStarted(listOf(3, 4, 5, 6))
        site.assertRulesHold()
        site.assertStatus("done", listOf(2))
    }

    @ParameterizedTest
    @CsvSource("606,false", "607,false", "608,true", "609,true")
    fun `a job that is submitted as its dependency is cancelled or ends gets the same status`(seed: Long, cancelsDependency: Boolean) {
        val site = SimSite(Simulation(seed), scale = SiteScale(teamCpus = 100.0))
        val random = site.sim.random
        var racingSubmissions = 0

        fun submitDependent(number: Int) = site.sim.after(random.nextInt(200).toDouble()) {
            racingSubmissions++
            site.submit(SimSite.job(200 + number, tasks = 1), listOf(id(100 + number))) { 3.0 }
        }
        if (!cancelsDependency) {
            site.onJobComplete = { user ->
                if (user.dependencies.isEmpty()) {
                    submitDependent(
                        user.spec.id.text
                            .removePrefix("job-1")
                            .toInt(),
                    )
                }
            }
        }
        repeat(24) { number ->
            site.sim.after(number * 1000.0) {
                site.submit(SimSite.job(100 + number, tasks = 1)) { if (cancelsDependency) 100.0 else 3.0 }
            }
            if (cancelsDependency) {
                site.sim.after(number * 1000.0 + 15_000.0) {
                    site.sim.after(random.nextInt(200).toDouble()) { site.cancel(id(100 + number)) }
                    submitDependent(number)
                }
            }
        }
        site.run(75.0)
        assertEquals(24, racingSubmissions)
        site.assertRulesHold()
        site.assertStatus(if (cancelsDependency) "aborted" else "done", (0 until 24).flatMap { listOf(100 + it, 200 + it) })
        if (cancelsDependency) site.assertNeverStarted((0 until 24).map { 200 + it })
    }
}
