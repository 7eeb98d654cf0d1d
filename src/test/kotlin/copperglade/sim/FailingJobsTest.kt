package copperglade.sim

import copperglade.protocol.JobId
import copperglade.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Jobs that fail on every machine, and machines on which every job fails. */
class FailingJobsTest {
    private val scale = SiteScale(machinesPerZone = 8, teamCpus = 400.0, guaranteedCpus = 200.0)

    private val failing = (1..FAILING).map { JobId("job-${300 + it}") }

    /** Sound arrays and services, and arrays that fail everywhere. */
    private fun siteWithFailingJobs(seed: Long, operatorSettings: OperatorSettings = OperatorSettings()): SimSite {
        val site = SimSite(Simulation(seed), operatorSettings = operatorSettings, scale = scale)
        site.fails = { task, _ -> task.job in failing }
        site.submitServices(4)
        site.submitArrays(16)
        repeat(FAILING) { number ->
            site.sim.after(6_000.0 + number * 2_500.0) { site.submit(SimSite.job(301 + number, tasks = 12)) { 8.0 } }
        }
        return site
    }

    private fun SimSite.cancelFailing() = failing.forEach(::cancel)

    private fun SimSite.soundJobsDone() = users.values.count { it.workSeconds(0) != null && it.spec.id !in failing && it.status == "done" }

    private fun failingStarts(site: SimSite) = failing.maxOf { site.startsOf[it] ?: 0 }

    @ParameterizedTest
    @ValueSource(longs = [2401, 2402, 2403])
    fun `jobs that fail everywhere take no machine out of use and end by cancellation alone`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(75.0)
        val machines = site.workerNames()
        val rented = site.machinesLaunched
        site.run(60.0)
        assertEquals(16, site.soundJobsDone(), "sound jobs done")
        assertEquals(rented, site.machinesLaunched, "machines were rented in place of sound ones")
        assertTrue(site.workerNames().all { it in machines }, "machines were replaced")
        assertTrue(failingStarts(site) < 60, "${failingStarts(site)} starts of one mistaken job")
        assertTrue(failing.all { site.users.getValue(it).status in listOf("queued", "running") })
        site.cancelFailing()
        site.assertRulesHold()
        assertTrue(failing.all { site.users.getValue(it).status == "aborted" })
    }

    @Test
    fun `without telling failing jobs from faulty machines, healthy machines are replaced`() {
        val site = siteWithFailingJobs(2404, OperatorSettings(failingJobMachineThreshold = 1_000))
        site.run(75.0)
        val machines = site.workerNames()
        site.run(60.0)
        assertTrue(site.workerNames().any { it !in machines }, "no machine was replaced")
    }

    @ParameterizedTest
    @ValueSource(longs = [2411, 2412, 2413])
    fun `a faulty machine is told from its jobs and gets no more tasks, also among failing jobs`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(20.0)
        val faulty = site
            .runningTasks()
            .values
            .first()
            .name
        site.fails = { task, machine -> task.job in failing || (machine == faulty && task.job.text.length < "job-500".length) }
        val before = site.startsOn.getValue(faulty)
        site.run(75.0)
        val after = site.startsOn.getValue(faulty) - before
        assertTrue(after < 25, "$after starts on $faulty")
        site.cancelFailing()
        site.assertRulesHold()
        assertEquals(16, site.soundJobsDone())
    }

    @ParameterizedTest
    @ValueSource(longs = [2421, 2422])
    fun `an array of which some tasks fail completes the others and stays known`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = scale)
        val partly = JobId("job-301")
        site.fails = { task, _ -> task.job == partly && task.index % 3 == 0 }
        site.submit(SimSite.job(301, tasks = 60)) { 6.0 }
        site.submitArrays(6)
        site.run(100.0)
        assertEquals(
            40,
            site.users
                .getValue(partly)
                .doneTasks.size,
        )
        assertEquals("running", site.users.getValue(partly).status)
        site.cancel(partly)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [2431, 2432, 2433])
    fun `a failing job stays known when the leader and the owners change, and may recover`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(40.0)
        (0 until site.nodes).forEach { site.crash(it, 500.0 + site.sim.random.nextInt(4000)) }
        site.run(20.0)
        site.leader()?.let { site.crash(it) }
        site.run(40.0)
        assertTrue(failingStarts(site) < 80, "${failingStarts(site)} starts of one mistaken job")
        // What made it fail is gone: a task on trial is completed, and then the others run.
        site.fails = { _, _ -> false }
        site.run(75.0)
        site.assertRulesHold()
        assertEquals(16, site.soundJobsDone())
    }

    private companion object {
        const val FAILING = 8
    }
}
