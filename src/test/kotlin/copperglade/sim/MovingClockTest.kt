package copperglade.sim

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Decisions during which time passes, as on a real machine: a clock that is read twice in a decision gives two times. */
class MovingClockTest {
    /** The order of the waiting jobs was compared by the current time, and the sort failed when a job's guarantee ended meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `no controller ends by itself while the guarantees of many waiting jobs end during scheduling rounds`(seed: Long) {
        val scale = SiteScale(machinesPerZone = 1, guaranteedCpus = 2000.0, teamCpus = 4000.0, stateWritesPerSecond = 400.0)
        val site = SimSite(Simulation(seed), scale = scale, millisPerClockReading = 0.05)
        // All machines are full, so that the jobs wait until the time of their guarantee has passed.
        site.submit(SimSite.job(1, tasks = 4, cpus = 8.0, service = true, spot = false)) { null }
        site.await(60.0) { site.runningTasks().size == 4 }
        repeat(WAITING_JOBS) { number ->
            site.after(number * 0.02) {
                val deadlineSeconds = 60.0 + site.sim.random.nextInt(600)
                site.submit(SimSite.job(2 + number, tasks = 2, deadlineSeconds = deadlineSeconds, estimatedSeconds = 5.0)) { 5.0 }
            }
        }
        site.run(30.0)
        assertTrue(site.users.values.count { it.accepted } > WAITING_JOBS, "too few jobs were accepted")
    }

    private companion object {
        const val WAITING_JOBS = 400
    }
}
