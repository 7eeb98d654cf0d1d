package copperglade.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Partitions in which a host still reaches some of the others. Some tests break a rule on purpose for the referee to detect. */
class PartialPartitionTest {
    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44])
    fun `a machine that receives nothing loses its tasks and is replaced once`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 6))
        site.submitServices(6)
        site.submitArrays(10)
        site.run(30.0)
        val launchedBefore = site.machinesLaunched
        val unresponsiveMachine = site.cutTrafficToMachine(seed.toInt() % 3)!!
        site.run(SimSite.LEASE_SECONDS + 12.0)
        // The machine's tasks run elsewhere by now, and no new task was assigned to the machine.
        assertEquals(
            emptyList<Any>(),
            site
                .runningTasks()
                .filterValues { it.name == unresponsiveMachine }
                .keys
                .toList(),
        )
        assertEquals(24, site.runningTasks().keys.count { it.job.text.length == 7 })
        site.run(60.0)
        assertTrue(unresponsiveMachine !in site.workerNames(), "$unresponsiveMachine was not returned")
        assertTrue(
            site.machinesLaunched - launchedBefore <= 8,
            "${site.machinesLaunched - launchedBefore} machines launched to replace one",
        )
        site.assertRulesHoldOnceHealed()
    }

    @Test
    fun `the referee detects tasks moved off an unresponsive machine before its lease expires`() {
        val site = SimSite(Simulation(45), configuredLeaseSeconds = 3.0)
        site.submitServices(3)
        site.run(25.0)
        // At first only the machine's heartbeats are delivered, then no messages: the owner has only the computed end of the lease.
        site.cutTrafficToMachine(0)
        site.cutMachine(0)
        site.run(9.0)
        site.assertBreachRecorded("ran_twice")
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63])
    fun `a controller that reaches only its workers redirects them before their leases expire`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = 5)
        site.submitServices(5)
        site.run(30.0)
        val assignmentsBefore = site.runningTasks().mapValues { it.value.name }
        assertEquals(20, assignmentsBefore.size)
        val isolatedNode = site.ownerOf(site.workerNames().first())
        site.isolateController(isolatedNode)
        site.run(25.0)
        assertEquals(assignmentsBefore, site.runningTasks().mapValues { it.value.name })
        assertTrue(site.workerNames().none { site.ownerOf(it) == isolatedNode })
        site.assertRulesHoldOnceHealed()
    }

    @Test
    fun `the referee detects an isolated controller that acts for too long because its clock is slow`() {
        // The drift is far beyond the protocol's bound, so that the controller treats its session lease as valid for too long.
        val site = SimSite(Simulation(64))
        site.submitServices(5)
        site.run(40.0)
        val isolatedNode = site.ownerOf(
            site
                .runningTasks()
                .values
                .first()
                .name,
        )
        site.setClockRate(isolatedNode, 0.1)
        site
            .workerNames()
            .indices
            .filter { site.ownerOf(site.workerNames()[it]) == isolatedNode }
            .forEach { site.cutMachineFromOthers(it, isolatedNode) }
        site.isolateController(isolatedNode)
        site.run(60.0)
        site.assertBreachRecorded("ran_twice")
    }

    @Test
    fun `assignments continue while controllers are cut off from each other`() {
        val site = SimSite(Simulation(81), nodes = 5)
        site.run(20.0)
        site.cutPeers()
        site.submitArrays(6)
        site.run(60.0)
        assertTrue(site.completions >= 30, "${site.completions} tasks done without the peer link")
        site.assertRulesHoldOnceHealed()
    }

    @ParameterizedTest
    @ValueSource(longs = [91, 92, 93])
    fun `a controller that receives no heartbeats of its workers releases them before their leases expire`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 8, teamCpus = 200.0))
        site.submitServices(12)
        site.run(40.0)
        val assignmentsBefore = site.runningTasks().mapValues { it.value.name }
        assertEquals(48, assignmentsBefore.size)
        val cutNode = site
            .workerNames()
            .map(site::ownerOf)
            .groupingBy { it }
            .eachCount()
            .maxBy { it.value }
            .key
        site.cutController(cutNode, "workers")
        site.run(30.0)
        assertEquals(assignmentsBefore, site.runningTasks().mapValues { it.value.name })
        site.assertRulesHoldOnceHealed()
    }
}
