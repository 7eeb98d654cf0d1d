package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Runs the real controllers against stand-ins in simulated time, while the referee checks the protocol's rules. */
class ProtocolRulesTest {
    private fun submitLoad(site: SimSite, jobs: Int = 14) {
        val random = site.sim.random
        repeat(jobs) { number ->
            val service = number % 3 == 0
            val spec = SimSite.job(
                number + 1,
                tasks = if (service) 1 + random.nextInt(3) else 1 + random.nextInt(20),
                service = service,
                oneZone = number % 5 == 1,
                spread = number % 5 == 2,
                spot = !service,
                image = 1 + number % 3,
            )
            val workSecondsByTask = HashMap<Int, Double>()
            site.sim.after(random.nextInt(60_000).toDouble()) {
                site.submit(
                    spec,
                ) { task -> if (service) null else workSecondsByTask.getOrPut(task) { 3.0 + random.nextDouble() * 15 } }
            }
            if (number % 4 ==
                0
            ) {
                site.sim.after(40_000.0 + random.nextInt(60_000)) { site.cancel(JobId("job-${number + 1}")) }
            }
        }
    }

    private fun healAndAssertRulesHold(site: SimSite) {
        site.heal()
        site.state.outage = false
        site.run(180.0)
        site.checkAnswered()
        assertEquals(emptyList<String>(), site.breaches)
        assertTrue(site.starts > 0, "no task started")
        val unfinished = site.users.values
            .filter { it.workSeconds(0) != null && !it.finished }
            .map { it.spec.id }
        assertEquals(emptyList<JobId>(), unfinished, "jobs that never ended")
    }

    @Test
    fun `a scenario without faults serves every job and leaves only end records`() {
        val site = SimSite(Simulation(1))
        submitLoad(site)
        site.run(120.0)
        healAndAssertRulesHold(site)
        val liveJobs = site.state.keys("cg/now/live/").map { JobId(it.removePrefix("cg/now/live/")) }
        assertTrue(liveJobs.all { site.users.getValue(it).workSeconds(0) == null }, "finished jobs still live: $liveJobs")
    }

    @Test
    fun `the referee detects tasks that run twice when controllers do not wait for the lease`() {
        val site = SimSite(Simulation(3), configuredLeaseSeconds = 2.0)
        // Preempting job-2 leaves capacity for the service at once.
        site.submit(SimSite.job(2, tasks = 16, spot = false)) { 600.0 }
        site.submit(SimSite.job(1, tasks = 12, service = true, spot = false)) { null }
        site.run(20.0)
        val busyMachine = site
            .runningTasks()
            .filterKeys { it.job == JobId("job-1") }
            .values
            .first()
            .name
        site.cutMachine(site.workerNames().indexOf(busyMachine))
        site.run(9.0)
        assertTrue(site.breaches.any { it.startsWith("ran_twice") }, "${site.breaches}")
    }

    @Test
    fun `the referee detects a team beyond its limit`() {
        val site = SimSite(Simulation(4), scale = SiteScale(teamCpus = 10.0), configuredMaxCpus = 60.0)
        site.submit(SimSite.job(1, tasks = 20)) { 30.0 }
        site.run(30.0)
        assertTrue(site.breaches.any { it.startsWith("quota") }, "${site.breaches}")
    }

    @Test
    fun `the referee detects tasks that outlive their job's cancellation`() {
        val site = SimSite(Simulation(5))
        site.submit(SimSite.job(1, tasks = 4)) { 300.0 }
        site.run(25.0)
        // The user's cancellation counts as confirmed, although no controller received it.
        site.users.getValue(JobId("job-1")).cancelledAtMillis = site.sim.nowMillis
        site.run(SimSite.CANCEL_SECONDS + 5.0)
        assertTrue(site.breaches.any { it.startsWith("ran_cancelled") }, "${site.breaches}")
    }

    @Test
    fun `an outage of the state service that is longer than a lease ends no task`() {
        val site = SimSite(Simulation(6))
        site.submit(SimSite.job(1, tasks = 6)) { 200.0 }
        site.run(30.0)
        val assignmentsBefore = site.runningTasks().toMap()
        assertEquals(6, assignmentsBefore.size)
        // Session leases are far shorter than this outage: only the peers' endorsements let shard owners extend their workers' leases.
        site.state.outage = true
        site.run(14.0)
        site.state.outage = false
        site.run(5.0)
        assertEquals(assignmentsBefore, site.runningTasks().toMap())
    }

    @Test
    fun `the workers of an isolated controller find another controller before their leases expire`() {
        val site = SimSite(Simulation(7))
        site.submit(SimSite.job(1, tasks = 24, service = true, spot = false)) { null }
        site.run(40.0)
        val assignmentsBefore = site.runningTasks().toMap()
        assertEquals(24, assignmentsBefore.size)
        site.cutController(1)
        site.run(25.0)
        assertEquals(assignmentsBefore, site.runningTasks().toMap())
        site.heal()
        site.run(30.0)
        assertEquals(assignmentsBefore, site.runningTasks().toMap())
        assertEquals(emptyList<String>(), site.breaches)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16, 17, 18])
    fun `no rule is broken by random faults`(seed: Long) {
        val site = SimSite(Simulation(seed))
        val random = site.sim.random
        submitLoad(site)
        repeat(8) {
            site.sim.after(15_000.0 + random.nextInt(100_000)) {
                when (random.nextInt(9)) {
                    0 -> site.crash(random.nextInt(3))
                    1 -> (0..2).forEach { site.crash(it, 2500.0 + random.nextInt(2000)) }
                    2 ->
                        site
                            .cutController(
                                random.nextInt(3),
                            ).also { site.sim.after(5000.0 + random.nextInt(30_000)) { site.heal() } }
                    3 -> site.cutController(random.nextInt(3), "state").also {
                        site.sim.after(5000.0 + random.nextInt(30_000)) { site.heal() }
                    }
                    4 -> site.cutController(random.nextInt(3), "workers").also {
                        site.sim.after(5000.0 + random.nextInt(30_000)) { site.heal() }
                    }
                    5 -> {
                        site.state.outage = true
                        site.sim.after(3000.0 + random.nextInt(25_000)) { site.state.outage = false }
                    }
                    6 -> if (site.workerCount() > 0) site.killMachine(random.nextInt(site.workerCount()))
                    7 -> if (site.workerCount() > 0) {
                        site.cutMachine(random.nextInt(site.workerCount()))
                        site.sim.after(4000.0 + random.nextInt(20_000)) { site.heal() }
                    }
                    8 -> if (site.workerCount() > 0) {
                        site.hang(random.nextInt(site.workerCount()))?.let { worker ->
                            site.sim.after(3000.0 + random.nextInt(20_000)) { worker.resume() }
                        }
                    }
                }
            }
        }
        site.run(150.0)
        healAndAssertRulesHold(site)
    }
}
