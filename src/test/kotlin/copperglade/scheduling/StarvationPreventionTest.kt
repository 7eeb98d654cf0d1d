package copperglade.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random

class StarvationPreventionTest {
    /**
     * A pool that gets half as much again as it can do, for ever: arrays of two classes and three teams, one in ten of
     * them ten times as large. Whoever waits gets CPUs in the plan's order, fair shares first.
     */
    private class OverloadedPool(private val starvationPrevention: StarvationPrevention, seed: Long) {
        class Arrival(
            val arrivedAtSeconds: Double,
            val loadClass: Int,
            val team: Int,
            val large: Boolean,
            val cpus: Int,
            val runSeconds: Double,
        ) {
            var unassignedTasks = cpus
            var startedAtSeconds: Double? = null
            var doneAtSeconds: Double? = null
            val runningUntilSeconds = ArrayList<Double>()
        }

        private val random = Random(seed)
        val jobs = ArrayList<Arrival>()

        fun run(durationSeconds: Int) = repeat(durationSeconds) { second ->
            val now = second.toDouble()
            if (random.nextDouble() < ARRIVALS_PER_SECOND) {
                val large = random.nextInt(10) == 0
                val loadClass = random.nextInt(2)
                jobs += Arrival(now, loadClass, if (large) 2 else random.nextInt(3), large, if (large) 300 else 30, 10.0 + 10.0 * loadClass)
            }
            jobs.forEach { job ->
                job.runningUntilSeconds.removeIf { it <= now }
                if (job.unassignedTasks == 0 && job.runningUntilSeconds.isEmpty() && job.doneAtSeconds == null) job.doneAtSeconds = now
            }
            var free = POOL_CPUS - jobs.sumOf { it.runningUntilSeconds.size }

            fun start(job: Arrival, maxTasks: Int) {
                val count = minOf(maxTasks, job.unassignedTasks, free)
                if (count <= 0) return
                job.startedAtSeconds = job.startedAtSeconds ?: now
                repeat(count) { job.runningUntilSeconds += now + job.runSeconds }
                job.unassignedTasks -= count
                free -= count
            }
            val waiting = jobs.filter { it.unassignedTasks > 0 }
            val due = { job: Arrival -> listOf(40.0 + job.arrivedAtSeconds - now).filter { it > job.runSeconds } }
            starvationPrevention
                .sharesOf(
                    waiting.map {
                        WaitingJob(
                            it,
                            now - it.arrivedAtSeconds,
                            1.0,
                            it.runningUntilSeconds.size.toDouble(),
                            it.startedAtSeconds != null,
                            due(it).isNotEmpty(),
                        )
                    },
                    POOL_CPUS.toDouble(),
                ).forEach { (job, tasks) -> start(job, tasks) }
            val planned = waiting.map { PlannedJob(it, it.unassignedTasks * it.runSeconds, due(it), now - it.arrivedAtSeconds) }
            DeadlinePlan(POOL_CPUS.toDouble()).order(planned).forEach { start(it, it.unassignedTasks) }
        }

        private companion object {
            const val POOL_CPUS = 400
            const val ARRIVALS_PER_SECOND = 0.7
        }
    }

    private fun servedAtLeastHalf(overloadedPool: OverloadedPool): Boolean {
        val counted = overloadedPool.jobs.filter { it.arrivedAtSeconds < 2000 }
        val groups =
            counted.groupBy { "class ${it.loadClass}" } + counted.groupBy { "team ${it.team}" } +
                counted.filter { it.large }.groupBy { "large ${it.loadClass}" }
        return groups.values.all { group -> group.count { it.doneAtSeconds != null } * 2 >= group.size }
    }

    @Test
    fun `in an overload that never ends every class, team and size is served, and the largest begin in time`() {
        val overloadedPool = OverloadedPool(StarvationPrevention(60.0, 0.15), 3).apply { run(2600) }
        assertTrue(servedAtLeastHalf(overloadedPool))
        val late = overloadedPool.jobs.filter {
            it.arrivedAtSeconds < 2300 &&
                (it.startedAtSeconds ?: Double.MAX_VALUE) - it.arrivedAtSeconds > 240
        }
        assertEquals(emptyList<Double>(), late.map { it.arrivedAtSeconds })
    }

    @Test
    fun `without fair shares the largest jobs would starve`() {
        val overloadedPool = OverloadedPool(StarvationPrevention(1e9, 1e-9), 3).apply { run(2600) }
        assertFalse(servedAtLeastHalf(overloadedPool))
    }
}
