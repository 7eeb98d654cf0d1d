package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** A zone that is cut off from the others for longer than a session lease and a worker lease together. */
class ZonePartitionTest {
    @ParameterizedTest
    @ValueSource(longs = [111, 112, 113, 114])
    fun `a zone partitioned for longer than leases while a controller outside it crashes breaks no rule`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = 5, scale = SiteScale(machinesPerZone = 8, teamCpus = 200.0))
        site.submitServices(10, tasks = 2)
        site.submitArrays(14)
        site.run(35.0)
        val launchedBefore = site.machinesLaunched
        site.cutZone(SimSite.ZONES[1])
        site.sim.after(4_000.0 + site.sim.random.nextInt(8_000)) { site.crash(2 * site.sim.random.nextInt(3), 3000.0) }
        site.sim.after(6_000.0) { site.cancel(JobId("job-503")) }
        site.run(35.0)
        site.heal()
        site.run(60.0)
        assertTrue(
            site.machinesLaunched - launchedBefore <= 40,
            "${site.machinesLaunched - launchedBefore} machines launched for a partition",
        )
        site.assertRulesHoldOnceHealed()
    }

    @Test
    fun `a partitioned zone keeps its tasks while its controllers may answer, and none of them runs elsewhere`() {
        val site = SimSite(Simulation(115), nodes = 5, scale = SiteScale(machinesPerZone = 8, teamCpus = 200.0))
        site.submitServices(12)
        site.run(40.0)
        val assignmentsBefore = site.runningTasks().mapValues { it.value.name }
        assertEquals(48, assignmentsBefore.size)
        // Tasks whose worker and shard owner are on the same side of the partition.
        val keptAssignments = assignmentsBefore.filterValues { site.ownerOf(it) % 2 == SimSite.ZONES.indexOf(site.zoneOf(it)) }
        assertTrue(
            keptAssignments.values.any { site.zoneOf(it) == SimSite.ZONES[1] },
            "no such task in the partitioned zone: $keptAssignments",
        )
        site.cutZone(SimSite.ZONES[1])
        // The partition lasts longer than a session lease and a worker lease together.
        site.run(22.0)
        site.heal()
        site.run(15.0)
        assertEquals(keptAssignments, site.runningTasks().filterKeys { it in keptAssignments }.mapValues { it.value.name })
        site.assertRulesHoldOnceHealed()
    }

    @ParameterizedTest
    @ValueSource(longs = [116, 117, 118])
    fun `the successor of a partitioned zone's shard owners waits until they have stopped answering`(seed: Long) {
        val site = SimSite(Simulation(seed), nodes = if (seed % 2 == 0L) 3 else 5, scale = SiteScale(machinesPerZone = 8, teamCpus = 200.0))
        site.submitServices(12)
        site.run(40.0)
        site.cutZone(SimSite.ZONES[1])
        site.sim.after(
            site.sim.random
                .nextInt(12_000)
                .toDouble(),
        ) { site.crash(2 * site.sim.random.nextInt(2), 500.0) }
        site.run(80.0)
        // By now all tasks run again, on machines that replace the unreachable ones.
        assertEquals(48, site.runningTasks().size)
        site.assertRulesHoldOnceHealed()
    }

    @Test
    fun `the referee detects a successor that ignores answers given after the session lease`() {
        // The controllers outside the zone are configured with a shorter staleness limit than the zone's controllers.
        val scale = SiteScale(machinesPerZone = 8, teamCpus = 200.0)
        val site = SimSite(Simulation(119), nodes = 5, scale = scale, stalenessLimitOverrideSeconds = 6.0)
        // Preempting job-1 leaves capacity for the services at once.
        site.submit(SimSite.job(1, tasks = 50, spot = false)) { 600.0 }
        site.submitServices(12)
        site.run(40.0)
        site.cutZone(SimSite.ZONES[1])
        site.run(45.0)
        site.assertBreachRecorded("ran_twice")
    }
}
