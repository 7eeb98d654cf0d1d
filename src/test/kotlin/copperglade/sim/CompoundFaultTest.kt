package copperglade.sim

import copperglade.protocol.JobId
import copperglade.storage.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Scenarios with two coinciding faults. Each test first asserts that the injected faults coincided, then that no rule was broken.
 * `docs/compound-faults.md` lists the scenarios.
 */
class CompoundFaultTest {
    /**
     * The state service refuses the requests of [leader] only, while the other controllers confirm cancellations. Then the state service is
     * down for all controllers for longer than a cancellation may take, while workers send their heartbeats to the old leader. Unless
     * [peersReachable], the controllers are also cut off from each other.
     */
    private fun refuseLeaderThenStopStateService(site: SimSite, peersReachable: Boolean, leader: Int) {
        val cancelled = jobsOnMachinesOf(site, leader)
        assertTrue(cancelled.size > 1, "fewer than two jobs run on the leader's workers")
        val refusalsBefore = site.network.refusals
        site.refuseController(leader)
        if (!peersReachable) site.cutPeers()
        site.run(0.6)
        val confirmedJobs = cancelAndConfirm(site, cancelled, withinSeconds = 1.4)
        assertTrue(site.network.refusals > refusalsBefore, "the state service refused no request of the leader")
        val refusedInOutageBefore = site.state.refusedInOutage
        site.state.outage = true
        site.run(3.0)
        if (!peersReachable) assertTrue(runningOf(site, confirmedJobs) > 0, "no cancelled task ran on the old leader's workers")
        site.sim.after(12_000.0) { site.serveController(leader) }
        site.run(SimSite.CANCEL_SECONDS + 6.0)
        assertTrue(site.state.refusedInOutage > refusedInOutageBefore, "the state service received no request during the outage")
        assertEquals(0, runningOf(site, confirmedJobs))
        site.state.outage = false
        site.heal()
    }

    @ParameterizedTest
    @CsvSource("201,true", "202,true", "203,false", "204,false", "205,false", "206,false")
    fun `cancelled tasks end in time when the state service refuses the leader, then all controllers`(seed: Long, peersReachable: Boolean) {
        val site = siteWithSixteenMachines(seed, nodes = if (seed % 2 == 0L) 5 else 3)
        submitLongArrays(site, jobs = 14, tasks = 2)
        site.run(30.0)
        refuseLeaderThenStopStateService(site, peersReachable, site.leader()!!)

        // Repeats the faults as soon as there is a leader again, when controllers may have caught up with the records only in part.
        fun nodeWithMostJobs() = (0 until site.nodes).maxBy { jobsOnMachinesOf(site, it).size }
        site.await(60.0) { site.leader() != null && jobsOnMachinesOf(site, nodeWithMostJobs()).size > 1 }
        refuseLeaderThenStopStateService(site, peersReachable, nodeWithMostJobs())
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [208, 209, 210])
    fun `a new shard owner that can't read the shard's records still ends cancelled tasks`(seed: Long) {
        val site = siteWithSixteenMachines(seed)
        submitLongArrays(site, jobs = 14, tasks = 2)
        site.run(30.0)
        val owner = (0 until site.nodes).filter { it != site.leader() }.maxBy { jobsOnMachinesOf(site, it).size }
        val cancelled = jobsOnMachinesOf(site, owner)
        assertTrue(cancelled.isNotEmpty())
        // The owner crashes before it receives the cancellations, and restarts in time to endorse the other controllers' shards.
        site.crash(owner, 8_000.0)
        val confirmedJobs = cancelAndConfirm(site, cancelled, withinSeconds = 2.4)
        var shardsGranted = false
        // The grant of the owner's shards is the last answer of the state service that any controller receives.
        site.network.tamperAnswer = { passage, _, reply ->
            if (!shardsGranted && passage.path == "/changes" && "cg/now/block/" in reply.body.decodeToString()) {
                shardsGranted = true
                site.state.outage = true
            }
            reply
        }
        site.await(12.0) { shardsGranted }
        assertTrue(runningOf(site, confirmedJobs) > 0, "the cancelled tasks had ended already")
        site.run(SimSite.CANCEL_SECONDS + 6.0)
        assertEquals(0, runningOf(site, confirmedJobs))
        site.assertRulesHold(200.0)
    }

    @Test
    fun `the referee detects a shard owner that acts on stale state for too long`() {
        // With twice the cancellation timeout configured, shard owners extend their workers' leases for longer.
        val scale = SiteScale(machinesPerZone = 4, teamCpus = 250.0)
        val site = SimSite(Simulation(207), scale = scale, configuredCancelSeconds = 2 * SimSite.CANCEL_SECONDS)
        submitLongArrays(site, tasks = 2, workSeconds = 300.0)
        site.run(30.0)
        val leader = site.leader()!!
        val cancelled = jobsOnMachinesOf(site, leader)
        site.refuseController(leader)
        site.cutPeers()
        site.run(0.6)
        cancelAndConfirm(site, cancelled, withinSeconds = 2.4)
        site.state.outage = true
        site.run(2 * SimSite.CANCEL_SECONDS)
        site.assertBreachRecorded("ran_cancelled")
    }

    @ParameterizedTest
    @ValueSource(longs = [211, 212, 213])
    fun `tasks restart after all controllers were down for longer than the workers' leases`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitServices(4)
        site.submitArrays(10)
        site.run(30.0)
        val running = site.runningTasks().keys.filter { it.job.text.length == 7 }
        (0 until site.nodes).forEach { site.crash(it, SimSite.LEASE_SECONDS * 1000 + 2000.0 + site.sim.random.nextInt(4000)) }
        site.run(SimSite.LEASE_SECONDS + 1.0)
        assertEquals(0, site.runningTasks().size, "tasks still run, so not all leases have expired")
        site.run(40.0)
        assertEquals(
            running.toSet(),
            site
                .runningTasks()
                .keys
                .filter { it.job.text.length == 7 }
                .toSet(),
        )
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [221, 222, 223, 224])
    fun `no rule is broken when tasks of small jobs end far apart, with leader changes in between`(seed: Long) {
        val site = SimSite(Simulation(seed))
        repeat(12) { number ->
            site.submit(SimSite.job(number + 1, tasks = 2 + number % 2)) { task -> 12.0 + 22.0 * task + number }
        }
        site.run(20.0)
        val leaders = HashSet<String?>()
        repeat(4) {
            leaders += site.state.text(Keys.LEADER)
            site.leader()?.let { leader -> site.crash(leader, 400.0 + site.sim.random.nextInt(6000)) }
            site.run(12.0)
        }
        assertTrue(leaders.filterNotNull().size >= 4, "leaders: $leaders")
        assertTrue(site.completions in 6..28, "${site.completions} tasks had ended by then")
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [231, 232, 233, 234])
    fun `no rule is broken when the state service is slow, refuses the leader, then all controllers, while users cancel and poll`(
        seed: Long,
    ) {
        val site = siteWithSixteenMachines(seed)
        submitLongArrays(site, jobs = 12, tasks = 2)
        site.submitArrays(8, first = 50)
        site.run(30.0)
        site.network.delayMillis = { if (it.from == "state") 150.0 + site.sim.random.nextInt(700) else 0.0 }
        site.run(8.0)
        assertTrue(site.network.delayedMessages > 0)
        val leader = site.leader()
        leader?.let(site::refuseController)
        val confirmedBefore = site.confirmedCancellations
        (1..6).forEach { site.cancel(id(it)) }
        site.run(5.0)
        assertTrue(site.confirmedCancellations > confirmedBefore, "no cancellation was confirmed")
        site.state.outage = true
        repeat(20) { site.sim.after(it * 700.0) { site.sendOddRequest() } }
        (7..9).forEach { site.cancel(id(it)) }
        site.run(SimSite.CANCEL_SECONDS + 5.0)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [241, 242, 243, 244])
    fun `no rule is broken when jobs constrained to one zone lose machines`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 3, teamCpus = 200.0))
        val zone = SimSite.ZONES[(seed % 2).toInt()]
        repeat(6) { number ->
            val zoneConstrained = number % 3 == 0
            val spec = SimSite.job(
                number + 1,
                tasks = 6,
                service = number % 2 == 1,
                oneZone = !zoneConstrained,
                spot = number % 2 == 0,
                zone = zone.takeIf { zoneConstrained },
            )
            site.submit(spec) { if (number % 2 == 1) null else 25.0 }
        }
        site.run(30.0)
        val runningBefore = site.runningTasks().size
        repeat(3) { killIndex ->
            site.sim.after(killIndex * 6000.0) {
                // Selects a machine with running tasks in the zone to which jobs are constrained.
                val machine = site
                    .runningTasks()
                    .values
                    .filter { it.zone == zone }
                    .randomOrNull(site)
                machine?.let { site.killMachineNamed(it.name) }
            }
        }
        site.run(14.0)
        assertTrue(site.leasesOrMachinesLost > 0 && runningBefore > 0, "no machine was lost")
        site.assertRulesHold(150.0)
    }

    private fun <T> List<T>.randomOrNull(site: SimSite): T? = if (isEmpty()) null else this[site.sim.random.nextInt(size)]

    @ParameterizedTest
    @ValueSource(longs = [251, 252, 253, 254, 255, 256, 258, 259])
    fun `no rule is broken when transactions of unknown outcome are applied late, after newer ones`(seed: Long) {
        val site = SimSite(Simulation(seed))
        // The small value limit leads to many packed records, and to task ranges that move from one to another.
        repeat(24) { number ->
            site.sim.after(number * 2500.0) {
                site.submit(SimSite.job(number + 1, tasks = 3 + number % 9)) { task -> 3.0 + task * 2.5 }
            }
        }
        site.submitServices(3)
        site.run(15.0)
        site.network.lateWriteOneIn = 4
        repeat(4) { site.sim.after(8_000.0 + it * 9_000.0) { site.cancel(id(3 + it * 4)) } }
        if (seed % 2 == 0L) site.sim.after(20_000.0) { site.leader()?.let { site.crash(it, 300.0) } }
        site.run(55.0)
        assertTrue(
            site.network.lateWrites >= 10 && site.network.lateWritesApplied > 0,
            "${site.network.lateWrites} late, ${site.network.lateWritesApplied} applied",
        )
        // Controllers that load the records after their restart have to give the same answers.
        (0 until site.nodes).forEach { site.crash(it, 200.0) }
        site.assertRulesHold(150.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [261, 262, 263])
    fun `no rule is broken when the leader changes ten times in two minutes, also during an outage`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = if (seed % 2 == 0L) 5 else 3)
        site.submitServices(4)
        site.submitArrays(20)
        site.run(20.0)
        val leaders = LinkedHashSet<String>()
        repeat(14) { iteration ->
            if (iteration == 5) site.state.outage = true
            if (iteration == 7) site.state.outage = false
            site.state.text(Keys.LEADER)?.let { leaders += it }
            site.leader()?.let { leader ->
                if (iteration % 3 == 2) site.refuseController(leader) else site.crash(leader, 200.0 + site.sim.random.nextInt(4000))
                site.sim.after(7000.0) { site.serveController(leader) }
            }
            if (iteration % 4 == 1) site.cancel(id(iteration))
            site.run(8.5)
        }
        assertTrue(leaders.size >= 10, "${leaders.size} leaders")
        site.assertRulesHold()
    }
}
