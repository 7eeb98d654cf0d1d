package copperglade.sim

import copperglade.protocol.JobId
import copperglade.storage.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Compound faults with messages, answers and heartbeats that are delayed, lost or reordered, and machines that are unreachable. */
class MessageReorderingTest {
    @ParameterizedTest
    @ValueSource(longs = [271, 272, 273, 274])
    fun `no rule is broken when commands and their answers are delayed for seconds, and machines hang and resume`(seed: Long) {
        val site = SimSite(Simulation(seed))
        val random = site.sim.random
        site.submitServices(3)
        site.submitArrays(16)
        site.run(18.0)
        site.network.delayMillis = { if (it.path == "/do" && random.nextInt(4) == 0) 1500.0 + random.nextInt(9000) else 0.0 }
        repeat(8) { iteration ->
            site.hang(random.nextInt(4))?.let { worker -> site.sim.after(2000.0 + random.nextInt(9000)) { worker.resume() } }
            site.cancel(id(2 + iteration * 2))
            site.run(6.0)
        }
        assertTrue(site.network.delayedMessages > 20, "${site.network.delayedMessages} messages delayed")
        assertTrue(site.confirmedCancellations > 0)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [281, 282, 283, 284])
    fun `jobs cancelled through a new leader end in time while the isolated former leader keeps its workers and users`(seed: Long) {
        val site = siteWithSixteenMachines(seed, nodes = if (seed % 2 == 0L) 5 else 3)
        submitLongArrays(site, jobs = 10, tasks = 3)
        site.run(30.0)
        val formerLeader = site.leader()!!
        site.isolateController(formerLeader)
        site.await(20.0) { site.leader().let { it != null && it != formerLeader } }
        val confirmedJobs = cancelAndConfirm(site, (1..5).map(::id), withinSeconds = 4.0)
        site.run(SimSite.CANCEL_SECONDS + 5.0)
        assertTrue(site.leader() != formerLeader)
        assertEquals(0, runningOf(site, confirmedJobs))
        site.assertRulesHold(200.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [291, 292, 293, 294])
    fun `a team stays within its limit when the leader changes, a machine is unreachable, and a job is cancelled`(seed: Long) {
        val site = siteWithSixteenMachines(seed, teamCpus = 100.0)
        submitLongArrays(site, jobs = 10, tasks = 4, workSeconds = 40.0)
        site.run(25.0)
        assertEquals(12, site.runningTasks().size, "the team is not at its limit")
        val busyAssignment = site.runningTasks().entries.first()
        site.cutMachine(site.workerNames().indexOf(busyAssignment.value.name))
        site.crash(site.leader()!!, 2500.0)
        site.run(0.5)
        cancelAndConfirm(site, listOf(busyAssignment.key.job), withinSeconds = 9.0)
        site.run(SimSite.LEASE_SECONDS + 8.0)
        site.assertRulesHold(240.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [301, 302, 303, 304])
    fun `no rule is broken when old heartbeats arrive after newer ones, also of earlier epochs and attempts`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.network.duplicateOneIn = 2
        site.network.maxDuplicateDelayMillis = (SimSite.LEASE_SECONDS * 2500).toInt()
        site.submitServices(4)
        site.submitArrays(14)
        site.run(20.0)
        repeat(4) { iteration ->
            // The worker's lease expires while heartbeats of its previous epoch are in flight.
            site.cutMachine(iteration % 3)
            site.run(SimSite.LEASE_SECONDS + 3.0)
            site.heal()
            if (iteration == 1) site.leader()?.let { site.crash(it, 200.0) }
            site.run(5.0)
        }
        assertTrue(site.network.duplicatesDelivered > 50)
        assertTrue(site.leasesOrMachinesLost > 0, "no lease expired")
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [311, 312, 313, 314, 315, 316])
    fun `no rule is broken when cancellations, polls and repeated submissions race with the end of a job's last task`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.cancellationsReplicatedAtOnce = true
        val random = site.sim.random
        var racingRequests = 0
        site.onJobComplete = { user ->
            repeat(3) {
                site.sim.after(random.nextInt(250).toDouble()) {
                    racingRequests++
                    when (random.nextInt(3)) {
                        0 -> site.cancel(user.spec.id)
                        1 -> site.repeatSubmission(user)
                        else -> site.poll(user.spec.id)
                    }
                }
            }
        }
        repeat(40) { number -> site.sim.after(number * 1100.0) { site.submit(SimSite.job(number + 1, tasks = 1 + number % 4)) { 3.0 } } }
        site.run(80.0)
        assertTrue(racingRequests >= 100, "$racingRequests requests raced with the end of a job")
        assertTrue(site.users.values.any { it.cancelRequestedAtMillis != null && it.status == "done" })
        assertTrue(site.users.values.any { it.cancelRequestedAtMillis != null && it.status == "aborted" })
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [321, 322, 323, 324])
    fun `no rule is broken when workers reach no controller while direct commands reach them`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 200.0))
        site.submitServices(6)
        site.submitArrays(16)
        site.run(30.0)
        val mutedWorkers = site.workerNames().filterIndexed { index, _ -> index % 3 == 0 }
        site.loseRequestsFrom(mutedWorkers)
        site.run(4.0)
        (1..4).forEach { site.cancel(id(it * 3)) }
        site.run(SimSite.LEASE_SECONDS + 8.0)
        assertTrue(site.network.lostMessages > 3)
        assertTrue(site.leasesOrMachinesLost > 0, "no lease expired")
        site.run(15.0)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [331, 332, 333, 334])
    fun `cancelled jobs end in time when answers and commands to their machines are lost while heartbeats arrive`(seed: Long) {
        val site = siteWithSixteenMachines(seed)
        site.submitServices(6)
        submitLongArrays(site, jobs = 8, tasks = 3)
        site.run(30.0)
        val cancelled = (1..5).map(::id)
        val unresponsiveMachines = machinesOf(site, cancelled).map { it.name }
        assertTrue(unresponsiveMachines.isNotEmpty())
        site.loseCommandsTo(unresponsiveMachines)
        val confirmedJobs = cancelAndConfirm(site, cancelled, withinSeconds = 4.0)
        site.run(SimSite.CANCEL_SECONDS)
        assertTrue(site.network.lostMessages > 10)
        assertEquals(0, runningOf(site, confirmedJobs))
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [341, 342, 343, 344])
    fun `no rule is broken when heartbeats are held back until there is a new leader, and then arrive there`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitServices(4)
        site.submitArrays(14)
        site.run(24.0)
        val leaderBefore = site.state.text(Keys.LEADER)
        // Only messages from workers are held back; the process that listens at the address by then receives them.
        site.holdHeartbeats(site.workerNames().take(3))
        site.run(1.5)
        (0 until site.nodes).forEach { site.crash(it, 150.0 + it * 400.0) }
        site.run(4.0 + site.sim.random.nextInt(5))
        assertTrue(site.state.text(Keys.LEADER) != leaderBefore && site.leader() != null, "no new leader")
        site.heal()
        site.run(20.0)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [351, 352, 353, 354])
    fun `no rule is broken when leadership alternates, all controllers crash, and one restarts within a second`(seed: Long) {
        val site = SimSite(Simulation(seed))
        val random = site.sim.random
        site.submitServices(4)
        site.submitArrays(16)
        site.run(20.0)
        repeat(4) {
            val leader = site.leader() ?: 0
            site.crash(leader, 250.0 + random.nextInt(600))
            site.run(2.0 + random.nextInt(3))
            (0 until site.nodes).forEach { node -> site.crash(node, if (node == leader) 300.0 else 4000.0 + random.nextInt(9000)) }
            site.run(0.9)
            site.crash(leader, 200.0)
            site.run(14.0)
        }
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [361, 362])
    fun `no rule is broken when demand of urgent and normal work exceeds capacity over slow links`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, teamCpus = 500.0))
        site.network.delayMillis = { 40.0 + site.sim.random.nextInt(260) }
        repeat(50) { number ->
            site.sim.after(number * 1500.0) {
                site.submit(SimSite.job(number + 1, tasks = if (number % 10 == 9) 60 else 8)) { 6.0 }
            }
        }
        repeat(10) { number ->
            site.sim.after(5000.0 + number * 6000.0) {
                site.submit(SimSite.job(500 + number, tasks = 2, service = true, spot = false)) { null }
                site.sim.after(60_000.0) { site.cancel(id(500 + number)) }
            }
        }
        site.run(90.0)
        assertTrue(site.network.delayedMessages > 1000)
        val waitingTasks = site.users.values.sumOf { it.spec.tasks } - site.completions - site.runningTasks().size
        assertTrue(waitingTasks > 100, "$waitingTasks tasks wait")
        site.assertRulesHold(260.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [371, 372, 373, 374])
    fun `no rule is broken when a leader crashes while machines are unreachable or lose its successor's answers`(seed: Long) {
        val site = siteWithSixteenMachines(seed)
        submitLongArrays(site, jobs = 10, tasks = 4, workSeconds = 60.0)
        site.run(25.0)
        val busyMachines = site
            .runningTasks()
            .values
            .map { it.name }
            .distinct()
        assertTrue(busyMachines.size >= 2, "$busyMachines")
        site.cutMachine(site.workerNames().indexOf(busyMachines[0]))
        site.loseCommandsTo(busyMachines.drop(1).take(1))
        site.crash(site.leader()!!, 2000.0)
        site.run(0.5)
        site.cancel(id(2))
        site.run(SimSite.LEASE_SECONDS + 12.0)
        assertTrue(site.network.lostMessages > 0)
        assertTrue(site.leasesOrMachinesLost > 0, "no lease expired")
        site.assertRulesHold(200.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [381, 382, 383, 384])
    fun `jobs that are cancelled together while their machines hang end in time`(seed: Long) {
        val site = siteWithSixteenMachines(seed)
        submitLongArrays(site, jobs = 10, tasks = 3)
        site.run(28.0)
        val cancelled = (1..6).map(::id)
        val hangingMachines = machinesOf(site, cancelled)
        hangingMachines.forEach { it.hanging = true }
        val confirmedJobs = cancelAndConfirm(site, cancelled, withinSeconds = 2.0)
        // The machines hang for less than a lease with some seeds, for longer than a lease with others.
        site.run(3.0 + 4.0 * (seed % 4))
        hangingMachines.forEach { it.resume() }
        site.run(SimSite.CANCEL_SECONDS)
        assertEquals(0, runningOf(site, confirmedJobs))
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [391, 392])
    fun `no rule is broken when users send odd requests while controllers receive cancellations immediately`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.cancellationsReplicatedAtOnce = true
        site.submitArrays(20, tasks = 4)
        site.run(10.0)
        repeat(150) { site.sim.after(it * 400.0) { site.sendOddRequest() } }
        repeat(8) { site.sim.after(5000.0 + it * 5000.0) { site.cancel(id(2 + it * 2)) } }
        site.run(70.0)
        assertTrue(site.confirmedCancellations > 0)
        site.assertRulesHold()
    }
}
