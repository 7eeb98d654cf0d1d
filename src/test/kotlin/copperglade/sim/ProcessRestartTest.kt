package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Controllers and machines that restart within a fraction of a second, and controllers that are paused. */
class ProcessRestartTest {
    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73, 74, 75, 76])
    fun `processes and machines that restart at once break no rule`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = if (seed % 2 == 0L) 5 else 3)
        val random = site.sim.random
        site.submitServices(4)
        site.submitArrays(14)
        repeat(5) {
            site.sim.after(12_000.0 + random.nextInt(60_000)) {
                when (random.nextInt(4)) {
                    // All controllers restart together, and some of them once more in the middle of the election.
                    0 -> (0 until site.nodes).forEach { node ->
                        site.crash(node, 100.0 + random.nextInt(300))
                        if (random.nextBoolean()) site.sim.after(500.0 + random.nextInt(800)) { site.crash(node, 150.0) }
                    }
                    1 -> site.rebootMachine(random.nextInt(4))
                    2 -> {
                        // The controller's last transactions arrive after its successor's first ones.
                        val node = random.nextInt(site.nodes)
                        site.cutController(node, "state")
                        site.sim.after(400.0) { site.crash(node, 200.0) }
                        site.sim.after(900.0) { site.heal() }
                    }
                    else -> site.crash(random.nextInt(site.nodes), 150.0)
                }
            }
        }
        site.run(90.0)
        site.assertRulesHoldOnceHealed()
    }

    @ParameterizedTest
    @ValueSource(longs = [78, 79])
    fun `a machine whose sequence numbers start again gets tasks soon`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, teamCpus = 200.0))
        site.submitServices(4, tasks = 8)
        // The machine has run for long enough that its new sequence numbers stay below its old ones for minutes.
        site.run(150.0)
        val rebootedMachine = site
            .runningTasks()
            .values
            .first()
            .name
        site.rebootMachine(site.workerNames().indexOf(rebootedMachine))
        // The machine's tasks are started there again at once; the next jobs are submitted long after its old heartbeats.
        site.run(12.0)
        repeat(4) { site.cancel(JobId("job-${500 + it}")) }
        repeat(4) { site.submit(SimSite.job(600 + it, tasks = 8, service = true, spot = false)) { null } }
        site.run(20.0)
        assertTrue(site.runningTasks().values.any { it.name == rebootedMachine }, "$rebootedMachine runs no task")
        assertEquals(emptyList<String>(), site.breaches)
    }

    @Test
    fun `the referee detects a machine that is written off too early after the controllers restart`() {
        val site = SimSite(Simulation(77), configuredLeaseSeconds = 2.0)
        site.submitServices(4)
        site.run(30.0)
        val busyIndex = site.workerNames().indexOf(
            site
                .runningTasks()
                .values
                .first()
                .name,
        )
        (0 until site.nodes).forEach { site.crash(it, 100.0) }
        site.cutMachine(busyIndex)
        site.run(9.0)
        site.assertBreachRecorded("ran_twice")
    }

    @ParameterizedTest
    @ValueSource(longs = [101, 102, 103, 104, 105, 106])
    fun `a controller that is paused while its clock runs on breaks no rule when it resumes`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = if (seed % 2 == 0L) 5 else 3, scale = SiteScale(machinesPerZone = 6))
        val random = site.sim.random
        site.submitServices(6)
        site.submitArrays(16)
        repeat(3) { number ->
            site.sim.after(14_000.0 + number * 22_000 + random.nextInt(9_000)) {
                // The paused controller may be the leader or a shard owner, be in a transaction, or have given an endorsement.
                if (random.nextInt(3) == 0) {
                    site.state.outage = true
                    site.sim.after(2_500.0) { site.state.outage = false }
                }
                site.freezeController(random.nextInt(site.nodes), 1_000.0 + random.nextInt(28_000))
                val cancelled = JobId("job-${500 + random.nextInt(6)}")
                site.sim.after(random.nextInt(4_000).toDouble()) { site.cancel(cancelled) }
            }
        }
        site.run(110.0)
        site.assertRulesHoldOnceHealed()
    }
}
