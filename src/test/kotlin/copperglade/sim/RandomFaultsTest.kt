package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.LongStream

/** Two or three random faults at once, four times a scenario, while users submit, poll and cancel. */
class RandomFaultsTest {
    private fun dependentId(number: Int) = JobId("job-${100 + number}")

    /** Submits jobs that depend on one or two of the other jobs, and most of them also on the previous one submitted here. */
    private fun submitPipelines(site: SimSite) = repeat(DEPENDENT_COUNT) { number ->
        site.after(number * 9.0 + 2.0) {
            val random = site.sim.random
            val earlierJobs = (1..number * 2 + 1).shuffled(random).take(1 + random.nextInt(2)).map { JobId("job-$it") }
            val previousDependent = if (number % 3 > 0) listOf(dependentId(number - 1)) else emptyList()
            val spec = SimSite.job(100 + number, tasks = 1 + random.nextInt(4), priority = if (number % 4 == 0) "urgent" else "normal")
            val workSeconds = 3.0 + random.nextDouble() * 10
            site.submit(spec, earlierJobs + previousDependent) { workSeconds }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken by random compound faults`(seed: Long) = playFaults(seed, millisPerClockReading = 0.0)

    /** Time passes within a decision, as on a real machine, so that two readings of the clock in one decision differ. */
    @ParameterizedTest
    @MethodSource("seedsWithMovingClocks")
    fun `no rule is broken by random compound faults while decisions take time`(seed: Long) =
        playFaults(seed, millisPerClockReading = if (seed % 2 == 0L) 0.02 else 0.2)

    private fun playFaults(seed: Long, millisPerClockReading: Double) {
        val site = SimSite(
            Simulation(seed),
            nodes = if (seed % 3 == 0L) 5 else 3,
            scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0),
            millisPerClockReading = millisPerClockReading,
        )
        val random = site.sim.random
        site.submitServices(5)
        repeat(24) { number ->
            site.after(number * 4.0) {
                val spec = SimSite.job(
                    number + 1,
                    tasks = 1 + random.nextInt(8),
                    cpus = if (number % 4 == 0) 6.0 else 2.0,
                    oneZone = number % 6 == 1,
                    spread = number % 6 == 2,
                    spot = number % 5 != 0,
                    zone = SimSite.ZONES[number % 2].takeIf { number % 6 == 3 },
                    estimatedSeconds = 12.0,
                )
                val workSecondsByTask = HashMap<Int, Double>()
                site.submit(spec) { workSecondsByTask.getOrPut(it) { 3.0 + random.nextDouble() * 25 } }
            }
        }
        submitPipelines(site)
        site.run(22.0)
        var faults = 0
        repeat(4) {
            val chosenFaults = SiteFault.entries.shuffled(random).take(2 + random.nextInt(2))
            faults += chosenFaults.size
            chosenFaults.forEach { fault -> site.after(random.nextDouble() * 3.0) { fault.begin(site, 2.0 + random.nextDouble() * 20.0) } }
            repeat(3) { site.after(random.nextDouble() * 8.0) { site.cancel(JobId("job-${1 + random.nextInt(24)}")) } }
            if (random.nextInt(3) == 0) site.after(random.nextDouble() * 8.0) { site.cancel(JobId("job-${500 + random.nextInt(5)}")) }
            if (random.nextInt(2) == 0) site.after(random.nextDouble() * 8.0) { site.cancel(dependentId(random.nextInt(DEPENDENT_COUNT))) }
            site.run(20.0)
        }
        assertTrue(faults >= 8)
        assertTrue(
            site.users.values.count { it.dependencies.isNotEmpty() && it.accepted } >= DEPENDENT_COUNT / 2,
            "too few jobs with dependencies were accepted",
        )
        site.run(6.0)
        site.network.duplicateOneIn = 0
        site.assertRulesHold(240.0)
    }

    private companion object {
        @JvmStatic
        fun seeds(): LongStream = LongStream.range(1000, 1000 + SEED_COUNT)

        @JvmStatic
        fun seedsWithMovingClocks(): LongStream = LongStream.range(3000, 3000 + MOVING_CLOCK_SEED_COUNT)

        const val SEED_COUNT = 60L
        const val MOVING_CLOCK_SEED_COUNT = 30L
        const val DEPENDENT_COUNT = 10
    }
}
