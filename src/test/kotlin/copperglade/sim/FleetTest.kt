package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Fleets of well over a thousand machines. The assertions bound counts of messages, never wall-clock time. */
class FleetTest {
    private val largeScale = SiteScale(
        machinesPerZone = 365,
        heartbeatIntervalSeconds = 4.0,
        leaseSeconds = 22.0,
        cancelSeconds = 42.0,
        stateRequestsPerSecond = 400.0,
        stateWritesPerSecond = 100.0,
        cloudRequestsPerSecond = 9.0,
        guaranteedCpus = 6000.0,
        teamCpus = 24_000.0,
    )

    private fun submitServices(site: SimSite, jobs: Int, cpus: Double = 8.0) = repeat(jobs) { number ->
        site.submit(SimSite.job(10_000 + number, tasks = 1, cpus = cpus, service = true, spot = false, image = number % 16)) { null }
    }

    private fun submitArrays(site: SimSite, jobs: Int, tasks: Int, workSeconds: Double) = repeat(jobs) { number ->
        site.sim.after(number * 100.0) { site.submit(SimSite.job(number + 1, tasks = tasks, image = 20 + number % 9)) { workSeconds } }
    }

    @Test
    fun `a restart of all controllers moves no service among nearly fifteen hundred machines`() {
        val site = SimSite(Simulation(1), scale = largeScale, nodes = 5)
        submitServices(site, 1300)
        submitArrays(site, 300, tasks = 60, workSeconds = 15.0)
        site.run(70.0)
        assertTrue(site.workerCount() >= 1000, "${site.workerCount()} machines")
        val runningServices = site.runningTasks().keys.filter { it.job.text.length == "job-10000".length }
        assertTrue(runningServices.size >= 1290, "${runningServices.size} services run")
        val assignmentsBefore = site.runningTasks().filterKeys { it in runningServices }.mapValues { it.value.name }
        (0 until site.nodes).forEach { site.crash(it, 3000.0) }
        site.run(5.0)
        val callsBefore = site.network.requestsSent
        site.run(30.0)
        // Within a lease, every worker is fenced and every poll is answered, and no service was moved.
        val assignmentsAfter = site.runningTasks().filterKeys { it in runningServices }.mapValues { it.value.name }
        assertEquals(assignmentsBefore, assignmentsAfter)
        // The messages stay in proportion to the fleet: heartbeats, their commands, users' polls, and little else.
        val messagesPerMachine = (site.network.requestsSent - callsBefore).toDouble() / site.workerCount()
        assertTrue(messagesPerMachine < 120.0, "$messagesPerMachine messages per machine in 30 s")
        site.run(60.0)
        site.checkAnswered()
        assertEquals(emptyList<String>(), site.breaches)
        val unfinished = site.users.values.count { it.workSeconds(0) != null && !it.finished }
        assertEquals(0, unfinished, "arrays that never ended")
    }

    /**
     * Scales out from zero to nearly four thousand machines, crashes the leader, then terminates half of the fleet at once while duplicates
     * of heartbeats arrive late.
     */
    @Test
    fun `all jobs are served after a scale-out to four thousand machines, a leader crash, and the loss of half of them`() {
        val largestScale = SiteScale(
            machinesPerZone = 1000,
            heartbeatIntervalSeconds = 6.0,
            leaseSeconds = 30.0,
            cancelSeconds = 60.0,
            stateRequestsPerSecond = 600.0,
            stateWritesPerSecond = 200.0,
            valueKb = 32.0,
            transactionWrites = 20,
            cloudRequestsPerSecond = 12.0,
            guaranteedCpus = 20_000.0,
            teamCpus = 80_000.0,
        )
        val site = SimSite(Simulation(4), scale = largestScale, nodes = 5)
        submitServices(site, 1500, cpus = 8.0)
        repeat(
            110,
        ) { number -> site.submit(SimSite.job(number + 1, tasks = 400, image = 20 + number % 9, estimatedSeconds = 60.0)) { 60.0 } }
        site.await(120.0) { site.workerCount() >= 3600 }
        assertEquals(0, site.cloudRefusals, "requests beyond the cloud's rate limit")
        site.run(20.0)
        site.crash(site.leader()!!, 3000.0)
        site.run(10.0)
        val callsBefore = site.network.requestsSent
        site.run(20.0)
        // Messages are heartbeats, the commands that follow, polls, and little else: their number grows no faster than the fleet.
        val messagesPerMachine = (site.network.requestsSent - callsBefore).toDouble() / site.workerCount()
        assertTrue(messagesPerMachine < 60.0, "$messagesPerMachine messages per machine in 20 s")
        site.network.duplicateOneIn = 4
        site.run(10.0)
        repeat(site.workerCount() / 2) { site.killMachine(it) }
        val workersLeft = site.workerCount()
        site.run(60.0)
        site.network.duplicateOneIn = 0
        assertTrue(site.network.duplicatesDelivered > workersLeft, "${site.network.duplicatesDelivered} duplicates")
        site.run(200.0)
        site.checkAnswered()
        assertEquals(emptyList<String>(), site.breaches)
        assertEquals(0, site.users.values.count { it.workSeconds(0) != null && !it.finished }, "arrays that never ended")
        assertEquals(1500, site.runningTasks().keys.count { it.job.text.length == "job-10000".length })
    }

    @ParameterizedTest
    @ValueSource(longs = [2, 3])
    fun `all jobs are served after dozens of machines hang, terminate or lose the network at once`(seed: Long) {
        val site =
            SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 60, teamCpus = 5000.0, stateWritesPerSecond = 100.0), nodes = 3)
        submitServices(site, 80)
        submitArrays(site, 60, tasks = 30, workSeconds = 8.0)
        site.run(40.0)
        val random = site.sim.random
        val hangingWorkers = (0 until site.workerCount()).shuffled(random).take(25).mapNotNull { site.hang(it) }
        (0 until 15).forEach { site.killMachine(it * 2) }
        (0 until site.workerCount()).shuffled(random).take(20).forEach { site.cutMachine(it) }
        site.run(6.0 + random.nextInt(14))
        site.heal()
        hangingWorkers.forEach { it.resume() }
        site.run(130.0)
        site.checkAnswered()
        assertEquals(emptyList<String>(), site.breaches)
        assertEquals(
            emptyList<JobId>(),
            site.users.values
                .filter { it.workSeconds(0) != null && !it.finished }
                .map { it.spec.id },
        )
        assertEquals(80, site.runningTasks().keys.count { it.job.text.length == "job-10000".length })
    }
}
