package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.standin.ServiceLimits
import copperglade.storage.Keys
import copperglade.storage.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * The state service's limits are lowered in the middle of a scenario. Controllers that are configured with the old limits write large
 * records first; one after the other is restarted with the lowered limits, while jobs run and change.
 */
class LoweredLimitsTest {
    private val nodesWithOldLimits = HashSet<Int>()

    private fun site(seed: Long): SimSite {
        nodesWithOldLimits += 0 until NODE_COUNT
        return SimSite(
            Simulation(seed),
            scale = SiteScale(machinesPerZone = 6, teamCpus = 400.0, transactionWrites = OLD_LIMITS.transactionWrites),
            nodes = NODE_COUNT,
            limitsOf = { if (it in nodesWithOldLimits) OLD_LIMITS else LOWERED_LIMITS },
        )
    }

    private fun SimSite.restartWithLoweredLimits(node: Int) {
        nodesWithOldLimits -= node
        crash(node, restartAfterMillis = 1500.0)
    }

    private fun SimSite.largestPackedRecord(): Int = JobKind.entries
        .flatMap { state.keys(Keys.assignmentRecords(it)) }
        .maxOf { state.text(it)!!.toByteArray().size }

    /** Submits arrays of many sizes and services, and cancels some of the services, so that ranges of all packed records change. */
    private fun SimSite.submitWork() {
        val random = sim.random
        repeat(SERVICE_COUNT) { submit(SimSite.job(500 + it, tasks = 3, cpus = 0.25, service = true, spot = false)) { null } }
        repeat(ARRAY_COUNT) { number ->
            sim.after(number * 1500.0) {
                val workSecondsByTask = HashMap<Int, Double>()
                submit(SimSite.job(1 + number, tasks = 2 + random.nextInt(20), cpus = 0.5)) {
                    workSecondsByTask.getOrPut(it) { 4.0 + random.nextDouble() * 40 }
                }
            }
        }
        repeat(SERVICE_COUNT / 4) { sim.after(40_000.0 + it * 4000.0) { cancel(JobId("job-${500 + it * 3}")) } }
    }

    /**
     * Lowers the state service's limits. During the next minute, machines, the leader and the links between controllers fail, so that tasks
     * of the large packed records are assigned again.
     */
    private fun SimSite.lowerLimits() {
        state.limits = ServiceLimits(LOWERED_LIMITS.valueBytes, LOWERED_LIMITS.transactionWrites, LOWERED_LIMITS.writesPerSecond)
        killMachine(sim.random.nextInt(workerCount()))
        run(30.0)
        crash(leader() ?: 0, 1500.0)
        killMachine(sim.random.nextInt(workerCount()))
        run(15.0)
        // Peer statuses go through the state service meanwhile.
        cutPeers()
        run(15.0)
        heal()
    }

    @ParameterizedTest
    @ValueSource(longs = [2001, 2002, 2003, 2004, 2005, 2006])
    fun `no write is refused for its size after the limits were lowered`(seed: Long) {
        val site = site(seed)
        site.submitWork()
        // With odd seeds, some writes get no answer and are applied seconds later.
        site.network.lateWriteOneIn = if (seed % 2 == 0L) 0 else 12
        site.run(45.0)
        assertTrue(
            site.largestPackedRecord() > LOWERED_LIMITS.valueBytes,
            "the largest packed record has ${site.largestPackedRecord()} bytes",
        )
        for (node in (0 until NODE_COUNT).shuffled(site.sim.random)) {
            site.restartWithLoweredLimits(node)
            site.run(6.0)
        }
        assertTrue(
            site.largestPackedRecord() > LOWERED_LIMITS.valueBytes,
            "the largest packed record has ${site.largestPackedRecord()} bytes",
        )
        val appliedBefore = site.state.applied
        site.lowerLimits()
        site.assertRulesHold(240.0)
        val refusals = site.state.limitRefusals
        println("seed $seed: ${site.state.applied - appliedBefore} applied, refused: $refusals, largest ${site.largestPackedRecord()}")
        assertEquals(0, refusals.malformed, "$refusals")
        assertTrue(site.state.applied - appliedBefore > 100)
    }

    @Test
    fun `writes of controllers that are configured with the old limits are refused`() {
        val site = site(2001)
        site.submitWork()
        site.run(45.0)
        site.lowerLimits()
        assertTrue(site.state.limitRefusals.largeValues > 0, "${site.state.limitRefusals}")
    }

    @ParameterizedTest
    @ValueSource(longs = [2101, 2102, 2103])
    fun `large jobs end when values are tiny and transactions have at most two writes`(seed: Long) {
        val scale = SiteScale(machinesPerZone = 6, teamCpus = 400.0, valueKb = 0.6, transactionWrites = 2)
        val site = SimSite(Simulation(seed), scale = scale, nodes = 5)
        site.state.limits = with(scale.stateLimits) { ServiceLimits(valueBytes, transactionWrites, writesPerSecond) }
        val random = site.sim.random
        repeat(4) { number ->
            val workSecondsByTask = HashMap<Int, Double>()
            site.submit(
                SimSite.job(1 + number, tasks = 300, cpus = 1.0),
            ) { workSecondsByTask.getOrPut(it) { 3.0 + random.nextDouble() * 30 } }
        }
        repeat(6) {
            site.run(12.0)
            site.killMachine(random.nextInt(site.workerCount()))
        }
        site.assertRulesHold(240.0)
        val refusals = site.state.limitRefusals
        println("seed $seed: ${site.state.applied} applied, refused: $refusals")
        assertEquals(0, refusals.malformed, "$refusals")
    }

    private companion object {
        const val NODE_COUNT = 3
        const val SERVICE_COUNT = 80
        const val ARRAY_COUNT = 60
        val OLD_LIMITS = StateLimits(200.0, 50.0, 8.0, 12)
        val LOWERED_LIMITS = StateLimits(120.0, 30.0, 2.0, 4)
    }
}
