package copperglade.sim

import copperglade.storage.Keys
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Pipelines are cancelled or continue while controllers or the state service fail. Each test first asserts that its scenario occurred. */
class PipelineFaultTest {
    @ParameterizedTest
    @CsvSource("DIAMOND,551,true", "CHAIN,552,true", "FAN,553,false", "CHAIN,554,false")
    fun `dependents are cancelled when the leader crashes just before or just after the cancellation`(
        shape: PipelineShape,
        seed: Long,
        crashFirst: Boolean,
    ) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val formerLeader = site.leader()!!
        if (crashFirst) site.crash(formerLeader, 4000.0)
        site.cancelAndConfirm(cancelled)
        if (!crashFirst) site.crash(formerLeader, 4000.0)
        site.await(10.0) { site.leader().let { it != null && it != formerLeader } }
        site.run(SimSite.CANCEL_SECONDS)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,561,12", "DIAMOND,562,45", "FAN,563,45")
    fun `dependents are cancelled when the state service is down right after the cancellation`(
        shape: PipelineShape,
        seed: Long,
        outageSeconds: Double,
    ) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        site.state.outage = true
        site.run(outageSeconds)
        assertTrue(site.state.refusedInOutage > 0)
        site.state.outage = false
        site.run(20.0)
        site.assertStatus("aborted", shape.dependentsOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,566", "DIAMOND,567")
    fun `no rule is broken when a job is cancelled and its dependency ends in an outage`(shape: PipelineShape, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 10.0)
        site.awaitRunning(1)
        val cancelled = shape.levels[1].first()
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        site.state.outage = true
        site.run(1.0)
        site.cancel(id(cancelled))
        site.run(14.0)
        assertTrue(site.user(cancelled).cancelledAtMillis == null && site.user(1).completedAtMillis != null, "the outage was too short")
        site.state.outage = false
        site.await(15.0) { site.user(cancelled).finished }
        site.run(SimSite.CANCEL_SECONDS)
        site.assertRulesHold()
        if (site.user(cancelled).status == "aborted") site.assertCancelledFrom(shape, cancelled) else site.assertStatus("done", shape.jobs)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,571,3", "DIAMOND,572,12", "FAN,573,35")
    fun `dependents are cancelled when all controllers crash right after the cancellation`(
        shape: PipelineShape,
        seed: Long,
        downSeconds: Double,
    ) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        val cancelledBefore = shape.dependentsOf(cancelled).filter { site.user(it).status == "aborted" }
        (0 until site.nodes).forEach { site.crash(it, downSeconds * 1000) }
        assertTrue(cancelledBefore.size < shape.dependentsOf(cancelled).size, "all dependents were reported cancelled before the crash")
        site.run(downSeconds + SimSite.CANCEL_SECONDS)
        site.assertStatus("aborted", shape.dependentsOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("FAN,574", "FAN,575", "FAN,579")
    fun `a pipeline is cancelled when the leader crashes and the state service is down as soon as its first end record is written`(
        shape: PipelineShape,
        seed: Long,
    ) {
        val site = SimSite(Simulation(seed))
        // The whole pipeline is blocked, so that the end records of all its jobs can be written as soon as it is cancelled.
        site.submit(SimSite.job(90, tasks = 1, estimatedSeconds = 20.0)) { 20.0 }
        site.awaitRunning(90)
        shape.jobs.forEach { number ->
            site.submit(SimSite.job(number, tasks = 1), (shape.dependencies[number] ?: listOf(90)).map(::id)) { 5.0 }
        }
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        var interrupted = false
        site.network.tamperAnswer = { _, request, reply ->
            val writesEndRecord =
                request.path == "/multi" && "\"${Keys.ended(id(1)).removeSuffix("job-1")}job-" in request.body.decodeToString()
            if (writesEndRecord && reply.status == 200 && !interrupted) {
                interrupted = true
                site.state.outage = true
                site.crash(site.leader()!!, 6000.0)
            }
            reply
        }
        site.cancel(id(1))
        site.await(20.0) { interrupted }
        val endRecordCount = shape.jobs.count { site.state.text(Keys.ended(id(it))) != null }
        assertTrue(endRecordCount in 1 until shape.jobs.size, "$endRecordCount end records were written by then")
        site.run(8.0)
        site.state.outage = false
        site.await(15.0) { site.user(1).cancelledAtMillis != null }
        site.run(SimSite.CANCEL_SECONDS)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, 1)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,576", "DIAMOND,577", "FAN,578")
    fun `a pipeline is done although all controllers are down when a job's last task ends`(shape: PipelineShape, seed: Long) {
        val site = SimSite(Simulation(seed))
        var crashesTriggered = 0
        site.onJobComplete = { user ->
            if (user.spec.id == id(1)) {
                crashesTriggered++
                (0 until site.nodes).forEach { site.crash(it, 4000.0) }
            }
        }
        site.submitAll(shape, workSeconds = 6.0)
        site.run(60.0)
        assertTrue(crashesTriggered > 0, "no job's last task ended")
        site.assertRulesHold()
        site.assertStatus("done", shape.jobs)
    }

    @ParameterizedTest
    @CsvSource("DIAMOND,581,true", "CHAIN,582,true", "DIAMOND,583,false", "FAN,584,false")
    fun `dependents are cancelled when the state service refuses only the leader`(shape: PipelineShape, seed: Long, peersCut: Boolean) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workSeconds = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val refusedLeader = site.leader()!!
        val refusalsBefore = site.network.refusals
        site.refuseController(refusedLeader)
        if (peersCut) site.cutPeers()
        site.run(0.5)
        site.cancelAndConfirm(cancelled)
        repeat(25) {
            // The refused leader has to answer polls correctly or not at all.
            shape.jobs.forEach { site.poll(id(it), refusedLeader) }
            site.run(1.0)
        }
        assertTrue(site.network.refusals > refusalsBefore, "the state service refused no request of the leader")
        site.serveController(refusedLeader)
        site.heal()
        site.run(SimSite.CANCEL_SECONDS - 25.0)
        site.assertStatus("aborted", shape.dependentsOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }
}
