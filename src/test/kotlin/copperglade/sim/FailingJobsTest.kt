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

    private val failingJobs = (1..FAILING_JOB_COUNT).map { JobId("job-${300 + it}") }

    /** Returns a site with healthy arrays and services, and with arrays that fail on every machine. */
    private fun siteWithFailingJobs(seed: Long, operatorSettings: OperatorSettings = OperatorSettings()): SimSite {
        val site = SimSite(Simulation(seed), operatorSettings = operatorSettings, scale = scale)
        site.fails = { task, _ -> task.job in failingJobs }
        site.submitServices(4)
        site.submitArrays(16)
        repeat(FAILING_JOB_COUNT) { number ->
            site.sim.after(6_000.0 + number * 2_500.0) { site.submit(SimSite.job(301 + number, tasks = 12)) { 8.0 } }
        }
        return site
    }

    private fun SimSite.cancelFailingJobs() = failingJobs.forEach(::cancel)

    private fun SimSite.countDoneHealthyJobs() = users.values.count {
        it.workSeconds(0) != null && it.spec.id !in failingJobs &&
            it.status == "done"
    }

    private fun maxStartsOfFailingJob(site: SimSite) = failingJobs.maxOf { site.startsOf[it] ?: 0 }

    @ParameterizedTest
    @ValueSource(longs = [2401, 2402, 2403])
    fun `jobs that fail on every machine take no machine out of use and end only by cancellation`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(75.0)
        // A machine that comes up later would count as a replacement, whenever it was launched.
        site.await(20.0) { site.machinesBooting == 0 }
        val workersBefore = site.workerNames()
        val launchedBefore = site.machinesLaunched
        site.run(60.0)
        assertEquals(16, site.countDoneHealthyJobs(), "healthy jobs done")
        assertEquals(launchedBefore, site.machinesLaunched, "machines were launched to replace healthy ones")
        assertTrue(site.workerNames().all { it in workersBefore }, "machines were replaced")
        assertTrue(maxStartsOfFailingJob(site) < 60, "${maxStartsOfFailingJob(site)} starts of one failing job")
        assertTrue(failingJobs.all { site.users.getValue(it).status in listOf("queued", "running") })
        site.cancelFailingJobs()
        site.assertRulesHold()
        assertTrue(failingJobs.all { site.users.getValue(it).status == "aborted" })
    }

    /** The number of machines on which several failing jobs have failed is what makes the scenario a hard one. */
    @Test
    fun `healthy machines are kept however many machines a job has to fail on to count as failing`() {
        val site = siteWithFailingJobs(2404, OperatorSettings(failingJobMachineThreshold = 1_000))
        val failedOn = HashMap<String, HashSet<JobId>>()
        site.onEnded = { task, machine, _ -> if (task.job in failingJobs) failedOn.getOrPut(machine) { HashSet() } += task.job }
        site.run(75.0)
        site.await(20.0) { site.machinesBooting == 0 }
        val workersBefore = site.workerNames()
        site.run(60.0)
        assertTrue(failedOn.values.count { it.size >= 2 } >= 2, "too few machines on which several jobs failed")
        assertTrue(site.workerNames().all { it in workersBefore }, "machines were replaced")
        assertEquals(16, site.countDoneHealthyJobs(), "healthy jobs done")
    }

    @Test
    fun `machines on which the same jobs fail are replaced where the jobs complete on other machines`() {
        val site = siteWithFailingJobs(2404)
        site.run(20.0)
        val workersBefore = site.workerNames()
        // A machine that runs a service is not empty, and is kept.
        val machinesOfServices = site
            .runningTasks()
            .filterKeys { it.job.text >= "job-500" }
            .values
            .mapTo(HashSet()) { it.name }
        val faultyMachines = workersBefore.filter { it !in machinesOfServices }
        assertTrue(faultyMachines.isNotEmpty() && faultyMachines.size < workersBefore.size)
        site.fails = { _, machine -> machine in faultyMachines }
        site.run(115.0)
        assertTrue(faultyMachines.none { it in site.workerNames() }, "a faulty machine was kept")
        assertTrue((workersBefore - faultyMachines.toSet()).all { it in site.workerNames() }, "a healthy machine was replaced")
    }

    @ParameterizedTest
    @ValueSource(longs = [2411, 2412, 2413])
    fun `a faulty machine is distinguished from its jobs and gets no more tasks, also among failing jobs`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(20.0)
        val faultyMachine = site
            .runningTasks()
            .values
            .first()
            .name
        site.fails = { task, machine -> task.job in failingJobs || (machine == faultyMachine && task.job.text.length < "job-500".length) }
        val startsBefore = site.startsOn.getValue(faultyMachine)
        site.run(75.0)
        val furtherStarts = site.startsOn.getValue(faultyMachine) - startsBefore
        assertTrue(furtherStarts < 25, "$furtherStarts starts on $faultyMachine")
        site.cancelFailingJobs()
        site.assertRulesHold()
        assertEquals(16, site.countDoneHealthyJobs())
    }

    @ParameterizedTest
    @ValueSource(longs = [2421, 2422])
    fun `an array of which some tasks fail completes the others and stays running`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = scale)
        val partlyFailingJob = JobId("job-301")
        site.fails = { task, _ -> task.job == partlyFailingJob && task.index % 3 == 0 }
        site.submit(SimSite.job(301, tasks = 60)) { 6.0 }
        site.submitArrays(6)
        site.run(100.0)
        assertEquals(
            40,
            site.users
                .getValue(partlyFailingJob)
                .doneTasks.size,
        )
        assertEquals("running", site.users.getValue(partlyFailingJob).status)
        site.cancel(partlyFailingJob)
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [2431, 2432, 2433])
    fun `a job stays marked as failing when the leader and the shard owners change, and may recover`(seed: Long) {
        val site = siteWithFailingJobs(seed)
        site.run(40.0)
        (0 until site.nodes).forEach { site.crash(it, 500.0 + site.sim.random.nextInt(4000)) }
        site.run(20.0)
        site.leader()?.let { site.crash(it) }
        site.run(40.0)
        assertTrue(maxStartsOfFailingJob(site) < 80, "${maxStartsOfFailingJob(site)} starts of one failing job")
        // The cause of the failures is removed: a trial task completes, and then the others run.
        site.fails = { _, _ -> false }
        site.run(75.0)
        site.assertRulesHold()
        assertEquals(16, site.countDoneHealthyJobs())
    }

    private companion object {
        const val FAILING_JOB_COUNT = 8
    }
}
