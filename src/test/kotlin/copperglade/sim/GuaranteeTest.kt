package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.TeamName
import copperglade.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A team regains its guaranteed quota from teams that have borrowed it. */
class GuaranteeTest {
    @Test
    fun `tasks on quota that another team has borrowed are preempted for a guarantee`() {
        val lendingTeam = TeamName("lender")
        val site =
            SimSite(
                Simulation(21),
                scale = SiteScale(machinesPerZone = 1, teamCpus = 100.0),
                otherTeam = Team(lendingTeam, 32.0, 100.0, 0.0, 0.0),
            )
        // Tasks of "team", three quarters of them beyond its guarantee, fill all four machines for longer than the scenario.
        site.submit(SimSite.job(1, tasks = 240)) { 600.0 }
        site.run(40.0)
        assertEquals(32, site.runningTasks().size)
        site.submit(SimSite.job(2, tasks = 16, team = lendingTeam)) { 20.0 }
        site.run(15.0)
        assertEquals(16, site.runningTasks().keys.count { it.job == JobId("job-2") })
        site.run(40.0)
        assertEquals("done", site.users.getValue(JobId("job-2")).status)
        // No task within the guarantee of "team" was preempted, and "team" has regained the remaining capacity.
        assertEquals(32, site.runningTasks().size)
        assertEquals(emptyList<String>(), site.breaches)
    }
}
