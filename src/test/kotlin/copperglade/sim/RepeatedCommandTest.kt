package copperglade.sim

import copperglade.protocol.TaskId
import copperglade.standin.StandInWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Direct commands that a worker has executed and answered, and that reach its machine once more. */
class RepeatedCommandTest {
    /** A site with room for one more task on each of its machines, each of which runs a service. */
    private fun siteWithRoom(seed: Long): SimSite {
        val scale = SiteScale(machinesPerZone = MACHINES / 2, heartbeatIntervalSeconds = 2.0, teamCpus = 400.0, guaranteedCpus = 400.0)
        val site = SimSite(Simulation(seed), scale = scale)
        repeat(
            MACHINES,
        ) { site.submit(SimSite.job(FIRST_SERVICE + it, tasks = 1, cpus = SERVICE_CPUS, service = true, spot = false)) { null } }
        site.await(60.0) { site.runningTasks().size == MACHINES }
        site.run(5.0)
        return site
    }

    private fun taskSpec() = SimSite.job(
        TASK_JOB,
        tasks = 1,
        cpus = TASK_CPUS,
        spot = false,
        image = TASK_IMAGE,
        imageGb = SMALL_IMAGE_GB,
        estimatedSeconds = TASK_SECONDS,
        deadlineSeconds = null,
    )

    private fun workerOf(site: SimSite): StandInWorker? = site.runningTasks()[TASK]

    private fun failOnFirstMachine(site: SimSite): String {
        var first: String? = null
        site.fails = { task, machine -> task == TASK && machine == (first ?: machine.also { first = it }) }
        site.submit(taskSpec()) { TASK_SECONDS }
        site.await(60.0) { workerOf(site)?.let { it.name != first } ?: false }
        return first!!
    }

    private fun repeatCommands(site: SimSite, machine: String) = site.network.executedCommands
        .filter { it.to == machine }
        .forEach(site.network::repeatCommand)

    /** The order of the incident of December 2026: failed, removed and started elsewhere, then the copy. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a task that failed and was started elsewhere does not run twice when its first start is repeated`(seed: Long) {
        val site = siteWithRoom(seed)
        val machine = failOnFirstMachine(site)
        site.run(0.7)
        repeatCommands(site, machine)
        site.run(5.0)
        assertEquals(emptyList<String>(), site.breaches)
        assertTrue(site.network.repeatedCommands > 0, "no command was repeated")
    }

    private companion object {
        const val MACHINES = 12
        const val FIRST_SERVICE = 500
        const val TASK_JOB = 1
        val TASK = TaskId(id(TASK_JOB), 0)
        const val TASK_IMAGE = 2
        const val SMALL_IMAGE_GB = 0.005
        const val TASK_CPUS = 2.0
        const val SERVICE_CPUS = 10.0
        const val TASK_SECONDS = 300.0
    }
}
