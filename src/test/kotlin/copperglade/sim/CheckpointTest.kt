package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Cancellation of jobs whose tasks are saving a checkpoint because tasks of higher priority preempt them. */
class CheckpointTest {
    private val checkpointingJob = JobId("job-1")

    /**
     * Returns a site on which tasks that take [CHECKPOINT_DURATION_SECONDS] to checkpoint fill all machines, and at least two of them are
     * being preempted for services.
     */
    private fun siteWithCheckpointingTasks(seed: Long): SimSite {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 2, teamCpus = 100.0, guaranteedCpus = 100.0))
        site.submit(
            SimSite.job(1, tasks = 16, cpus = 4.0, spot = false, estimatedSeconds = 300.0, checkpointSeconds = CHECKPOINT_DURATION_SECONDS),
        ) {
            300.0
        }
        site.await(60.0) { site.runningTasks().size == 16 }
        site.submit(SimSite.job(2, tasks = 3, cpus = 8.0, service = true, spot = false)) { null }
        site.await(30.0) { site.checkpointingTasks().size > 1 }
        return site
    }

    private fun cancelAndAwaitEnd(site: SimSite, timeoutSeconds: Double) {
        assertTrue(site.checkpointingTasks().isNotEmpty(), "no task is checkpointing any more")
        site.cancel(checkpointingJob)
        site.await(10.0) { site.users.getValue(checkpointingJob).status == "aborted" }
        assertTrue(site.checkpointingTasks().isNotEmpty(), "all checkpoints were saved before the cancellation")
        site.await(timeoutSeconds) { site.runningTasks().keys.none { it.job == checkpointingJob } }
        site.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(longs = [2301, 2302, 2303])
    fun `a cancellation ends checkpointing at once`(seed: Long) {
        val site = siteWithCheckpointingTasks(seed)
        site.cancellationsReplicatedAtOnce = true
        cancelAndAwaitEnd(site, timeoutSeconds = 3.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [2311, 2313, 2314, 2316])
    fun `a cancellation ends checkpointing in time when the leader crashes just before it`(seed: Long) {
        val site = siteWithCheckpointingTasks(seed)
        site.crash(site.leader()!!)
        cancelAndAwaitEnd(site, timeoutSeconds = SimSite.CANCEL_SECONDS)
    }

    @ParameterizedTest
    @ValueSource(longs = [2321, 2322, 2323, 2324])
    fun `a cancellation ends checkpointing in time when the shard owner crashes just before it`(seed: Long) {
        val site = siteWithCheckpointingTasks(seed)
        site.crash(
            site.ownerOf(
                site
                    .checkpointingTasks()
                    .values
                    .first()
                    .name,
            ),
        )
        cancelAndAwaitEnd(site, timeoutSeconds = SimSite.CANCEL_SECONDS)
    }

    @ParameterizedTest
    @ValueSource(longs = [2331, 2332])
    fun `tasks that were preempted after a checkpoint complete elsewhere or later`(seed: Long) {
        val site = siteWithCheckpointingTasks(seed)
        site.await(CHECKPOINT_DURATION_SECONDS + 5.0) { site.checkpointingTasks().isEmpty() }
        site.assertRulesHold(900.0)
        assertEquals("done", site.users.getValue(checkpointingJob).status)
    }

    private companion object {
        const val CHECKPOINT_DURATION_SECONDS = 15.0
    }
}
