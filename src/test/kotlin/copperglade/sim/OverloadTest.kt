package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.transport.Method
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Best-effort teams with huge arrays and bursts of tiny jobs, users who poll far more often than usual, and machines that boot late. */
class OverloadTest {
    private val bestEffortTeam = TeamName("guest")
    private val scale = SiteScale(machinesPerZone = 10, teamCpus = 400.0, guaranteedCpus = 200.0, valueKb = 4.0)

    private fun site(seed: Long, nodes: Int = 3) =
        SimSite(Simulation(seed), nodes = nodes, scale = scale, otherTeam = Team(bestEffortTeam, 0.0, 200.0, 0.0, 0.0))

    /** The guaranteed team's jobs complete in time, and the best-effort team's huge array and burst complete eventually. */
    @ParameterizedTest
    @ValueSource(longs = [2601, 2602, 2603])
    fun `a best-effort team's huge array and burst of tiny jobs are served without delaying guaranteed work`(seed: Long) {
        val site = site(seed)
        site.submitServices(6)
        val hugeArray =
            SimSite.job(
                900,
                tasks = 5000,
                cpus = 0.25,
                team = bestEffortTeam,
                priority = "best_effort",
                deadlineSeconds = null,
                estimatedSeconds = 3.0,
            )
        site.submit(hugeArray) { 3.0 }
        site.run(10.0)
        site.submitArrays(20)
        repeat(300) { number ->
            site.sim.after(number * 100.0) {
                val tinyJob =
                    SimSite.job(
                        1000 + number,
                        tasks = 1,
                        cpus = 1.0,
                        team = bestEffortTeam,
                        priority = "best_effort",
                        deadlineSeconds = null,
                    )
                site.submit(tinyJob) { 2.0 }
            }
        }
        val completionSeconds = HashMap<JobId, Double>()
        site.onJobComplete = { completionSeconds[it.spec.id] = (site.sim.nowMillis - it.requestedAtMillis) / 1000 }
        if (seed % 2 == 0L) site.sim.after(20_000.0) { site.leader()?.let { site.crash(it, 1500.0) } }
        site.run(110.0)
        val lateJobs = (1..20).map { JobId("job-$it") }.filter { (completionSeconds[it] ?: Double.MAX_VALUE) > MAX_COMPLETION_SECONDS }
        assertTrue(lateJobs.size <= 2, "guaranteed jobs that were late: $lateJobs")
        site.assertRulesHold(260.0)
        assertEquals(1, site.users.values.count { it.spec.id == JobId("job-900") && it.status == "done" })
    }

    /** Each job's user polls ten times a second: polls are answered, and no other requests are delayed. */
    @ParameterizedTest
    @ValueSource(longs = [2611, 2612])
    fun `users who poll far more often are answered, and heartbeats and submissions are not delayed`(seed: Long) {
        val site = site(seed)
        site.submitServices(6)
        site.run(25.0)
        val assignmentsBefore = site.runningTasks().mapValues { it.value.name }
        repeat(40) { number -> site.submit(SimSite.job(1 + number, tasks = 2)) { 5.0 } }
        site.run(3.0)
        val readsBefore = site.state.reads
        var pollsSent = 0
        var pollsAnswered = 0
        repeat(200) { iteration ->
            site.sim.after(iteration * 100.0) {
                for (user in site.users.values.filter { it.accepted }) {
                    pollsSent++
                    site.requestAt(iteration % site.nodes, Request(Method.GET, "/submissions/${user.spec.id}")) { reply ->
                        if (reply?.status == 200) pollsAnswered++
                    }
                }
            }
        }
        site.run(22.0)
        assertTrue(pollsSent > 8000, "$pollsSent polls sent")
        assertTrue(pollsAnswered >= pollsSent * 0.99, "$pollsAnswered of $pollsSent answered")
        // Many polls share a read, and finished jobs need none: the load on the state service stays small.
        val readsPerSecond = (site.state.reads - readsBefore) / 22.0
        assertTrue(readsPerSecond < scale.stateRequestsPerSecond, "$readsPerSecond reads per second")
        assertEquals(assignmentsBefore, site.runningTasks().filterKeys { it in assignmentsBefore }.mapValues { it.value.name })
        site.assertRulesHold()
    }

    /** Machines that never boot are replaced, and late ones are used or returned, without repeated launches for the same demand. */
    @ParameterizedTest
    @ValueSource(longs = [2621, 2622, 2623])
    fun `machines that boot late or never are replaced`(seed: Long) {
        val site = site(seed)
        // Of the first machines, some take five times as long to boot, and the others never boot.
        site.bootTimeFactor = { number ->
            if (number > 4) {
                1.0
            } else if (number % 3 == 0) {
                5.0
            } else {
                null
            }
        }
        site.submitServices(4)
        site.submitArrays(6)
        // If late machines were not written off, only machines that the cloud reports as failed would be replaced, after 38 s.
        site.await(30.0) { site.runningTasks().keys.count { it.job.text >= "job-500" } >= 16 }
        assertTrue(site.machinesLaunched <= 16, "${site.machinesLaunched} machines launched")
        site.assertRulesHold()
    }

    private companion object {
        /** Time from a job's submission to the end of its last task when no other team is served. */
        const val MAX_COMPLETION_SECONDS = 40.0
    }
}
