package copperglade.sim

import copperglade.protocol.TeamName
import copperglade.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * A blocked job, which waits for its dependencies, launches no machines, uses no quota and preempts no tasks, but passes its priority on to
 * its dependencies.
 */
class BlockedJobTest {
    /**
     * Returns how many seconds after its submission the first job of a chain of two starts, while normal work exceeds capacity. The last
     * job of the chain has [lastJobPriority].
     */
    private fun chainStartDelaySeconds(seed: Long, lastJobPriority: String): Double {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, teamCpus = 200.0))
        repeat(12) { site.submit(SimSite.job(100 + it, tasks = 32, estimatedSeconds = 10.0, deadlineSeconds = 600.0)) { 10.0 } }
        site.await(40.0) { site.runningTasks().size >= 16 }
        site.submit(SimSite.job(1, tasks = 32, estimatedSeconds = 10.0, deadlineSeconds = 600.0)) { 10.0 }
        site.submit(
            SimSite.job(2, tasks = 2, estimatedSeconds = 5.0, deadlineSeconds = 600.0, priority = lastJobPriority),
            listOf(id(1)),
        ) { 5.0 }
        site.assertRulesHold(300.0)
        val firstJobUser = site.user(1)
        return (firstJobUser.firstStartAtMillis!! - firstJobUser.requestedAtMillis) / 1000
    }

    @ParameterizedTest
    @ValueSource(longs = [621, 622])
    fun `no machines are launched for a blocked job`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1, estimatedSeconds = 90.0)) { 90.0 }
        site.awaitRunning(1)
        site.run(10.0)
        val launchedBefore = site.machinesLaunched
        site.submit(SimSite.job(2, tasks = 6, cpus = 8.0, estimatedSeconds = 40.0), listOf(id(1))) { 40.0 }
        site.run(45.0)
        assertTrue(site.isRunning(1) && site.user(2).accepted)
        site.assertStatus("queued", listOf(2))
        assertEquals(launchedBefore, site.machinesLaunched)
        site.assertRulesHold()
        assertTrue(site.machinesLaunched > launchedBefore, "job-2 started without another machine")
    }

    @ParameterizedTest
    @ValueSource(longs = [626, 627])
    fun `a blocked job uses none of its team's limit`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1, estimatedSeconds = 90.0)) { 90.0 }
        site.awaitRunning(1)
        // job-2 is older than job-3, urgent, and as large as the team's limit.
        site.submit(SimSite.job(2, tasks = 30, priority = "urgent", estimatedSeconds = 5.0), listOf(id(1))) { 5.0 }
        site.run(2.0)
        site.submit(SimSite.job(3, tasks = 29, estimatedSeconds = 40.0)) { 40.0 }
        site.await(40.0) { site.runningTasks().keys.count { it.job == id(3) } == 29 }
        assertTrue(site.isRunning(1))
        site.assertStatus("queued", listOf(2))
        site.assertRulesHold(160.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [628, 629])
    fun `a blocked job preempts no tasks on quota that another team has borrowed`(seed: Long) {
        val borrowingTeam = Team(TeamName("others"), 0.0, 200.0, 0.0, 0.0)
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, guaranteedCpus = 16.0), otherTeam = borrowingTeam)
        site.submit(SimSite.job(1, tasks = 1, estimatedSeconds = 150.0)) { 150.0 }
        site.awaitRunning(1)
        site.submit(SimSite.job(3, tasks = 60, estimatedSeconds = 110.0, team = borrowingTeam.name)) { 110.0 }
        // All four machines are full, with eight tasks each.
        site.await(60.0) { site.runningTasks().size == 4 * 8 }
        site.submit(SimSite.job(2, tasks = 6, estimatedSeconds = 5.0), listOf(id(1))) { 5.0 }
        val borrowedAssignments = site.runningTasks().filterKeys { it.job == id(3) }
        site.run(45.0)
        assertTrue(site.isRunning(1) && site.user(2).accepted)
        assertEquals(
            borrowedAssignments,
            site.runningTasks().filterKeys { it in borrowedAssignments.keys },
            "some borrowing tasks were preempted",
        )
        // The same job without dependencies does preempt borrowing tasks.
        site.submit(SimSite.job(4, tasks = 6, estimatedSeconds = 5.0)) { 5.0 }
        site.await(15.0) { site.isRunning(4) }
        assertTrue(
            borrowedAssignments.keys.any { it !in site.runningTasks() && it.index !in site.user(3).doneTasks },
            "job-4 started without preemption",
        )
        site.assertRulesHold(300.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [631, 632])
    fun `a chain whose last job is urgent starts before other normal work`(seed: Long) {
        val normalDelaySeconds = chainStartDelaySeconds(seed, "normal")
        val urgentDelaySeconds = chainStartDelaySeconds(seed, "urgent")
        assertTrue(
            urgentDelaySeconds + 10.0 < normalDelaySeconds,
            "delay of the start: $urgentDelaySeconds s with an urgent last job, else $normalDelaySeconds s",
        )
    }
}
