package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Preemption of tasks of lower priority that take seconds to save a checkpoint. */
class PreemptionTest {
    @ParameterizedTest
    @ValueSource(longs = [2701, 2702, 2703])
    fun `tasks that wait for the checkpoints of preempted tasks wait in parallel, not one after the other`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 2, teamCpus = 200.0, guaranteedCpus = 200.0))
        site.submit(
            SimSite.job(
                1,
                tasks = 32,
                cpus = 4.0,
                estimatedSeconds = 300.0,
                checkpointSeconds = CHECKPOINT_DURATION_SECONDS,
                priority = "best_effort",
            ),
        ) {
            300.0
        }
        site.await(60.0) { site.runningTasks().size == 32 }
        site.submit(SimSite.job(2, tasks = 24, cpus = 4.0, priority = "normal")) { 30.0 }
        site.await(4 * CHECKPOINT_DURATION_SECONDS) { site.runningTasks().keys.count { it.job == JobId("job-2") } >= 20 }
        site.run(40.0)
        assertTrue(site.users.getValue(JobId("job-2")).status == "done")
        site.assertRulesHold(900.0)
    }

    private companion object {
        const val CHECKPOINT_DURATION_SECONDS = 4.0
    }
}
