package copperglade.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Shards that get a new owner while their tasks run. Guards against work that is lost though no machine is. */
class TakeoverTest {
    /** The stop of the first cancelled task that the new owner finds goes out while it has yet to find the machine's other tasks. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `tasks beside a cancelled one are not stopped when a new owner finds them`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 120.0, guaranteedCpus = 120.0))
        val jobs = (1..JOBS).toList()
        jobs.forEach {
            site.submit(
                SimSite.job(it, tasks = TASKS, cpus = 1.0, spot = false, estimatedSeconds = TASK_SECONDS),
            ) { TASK_SECONDS }
        }
        site.await(90.0) { site.runningTasks().size == JOBS * TASKS }
        val cancelled = jobs.filter { it % 3 == 0 }
        (0 until site.nodes).filter { it != site.leader() }.forEach { site.crash(it, restartAfterMillis = 3_000.0) }
        site.run(0.5)
        cancelled.forEach { site.cancel(id(it)) }
        site.await(60.0) { cancelled.none(site::isRunning) }
        site.run(SimSite.LEASE_SECONDS * 2)
        val startsOfOthers = (jobs - cancelled.toSet()).associateWith { site.startsOf.getValue(id(it)) }
        assertEquals(startsOfOthers.mapValues { TASKS }, startsOfOthers)
        assertEquals(emptyList<String>(), site.breaches)
    }

    private companion object {
        const val JOBS = 9
        const val TASKS = 10
        const val TASK_SECONDS = 300.0
    }
}
