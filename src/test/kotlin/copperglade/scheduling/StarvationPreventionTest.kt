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
    private class Overload(private val starvationPrevention: StarvationPrevention, seed: Long) {
        class Arrival(val atS: Double, val cls: Int, val team: Int, val large: Boolean, val cpus: Int, val runS: Double) {
            var left = cpus
            var begunAt: Double? = null
            var doneAt: Double? = null
            val running = ArrayList<Double>()
        }

        private val random = Random(seed)
        val jobs = ArrayList<Arrival>()

        fun run(forS: Int) = repeat(forS) { second ->
            val now = second.toDouble()
            if (random.nextDouble() < RATE) {
                val large = random.nextInt(10) == 0
                val cls = random.nextInt(2)
                jobs += Arrival(now, cls, if (large) 2 else random.nextInt(3), large, if (large) 300 else 30, 10.0 + 10.0 * cls)
            }
            jobs.forEach { job ->
                job.running.removeIf { it <= now }
                if (job.left == 0 && job.running.isEmpty() && job.doneAt == null) job.doneAt = now
            }
            var free = POOL - jobs.sumOf { it.running.size }

            fun start(job: Arrival, most: Int) {
                val count = minOf(most, job.left, free)
                if (count <= 0) return
                job.begunAt = job.begunAt ?: now
                repeat(count) { job.running += now + job.runS }
                job.left -= count
                free -= count
            }
            val waiting = jobs.filter { it.left > 0 }
            val due = { job: Arrival -> listOf(40.0 + job.atS - now).filter { it > job.runS } }
            starvationPrevention
                .sharesOf(
                    waiting.map {
                        WaitingJob(it, now - it.atS, 1.0, it.running.size.toDouble(), it.begunAt != null, due(it).isNotEmpty())
                    },
                    POOL.toDouble(),
                ).forEach { (job, tasks) -> start(job, tasks) }
            val planned = waiting.map { PlannedJob(it, it.left * it.runS, due(it), now - it.atS) }
            DeadlinePlan(POOL.toDouble()).order(planned).forEach { start(it, it.left) }
        }

        private companion object {
            const val POOL = 400
            const val RATE = 0.7
        }
    }

    private fun servedAtLeastHalf(overload: Overload): Boolean {
        val settled = overload.jobs.filter { it.atS < 2000 }
        val groups =
            settled.groupBy { "class ${it.cls}" } + settled.groupBy { "team ${it.team}" } +
                settled.filter { it.large }.groupBy { "large ${it.cls}" }
        return groups.values.all { group -> group.count { it.doneAt != null } * 2 >= group.size }
    }

    @Test
    fun `in an overload that never ends every class, team and size is served, and the largest begin in time`() {
        val overload = Overload(StarvationPrevention(60.0, 0.15), 3).apply { run(2600) }
        assertTrue(servedAtLeastHalf(overload))
        val late = overload.jobs.filter { it.atS < 2300 && (it.begunAt ?: Double.MAX_VALUE) - it.atS > 240 }
        assertEquals(emptyList<Double>(), late.map { it.atS })
    }

    @Test
    fun `without fair shares the largest jobs would starve`() {
        val overload = Overload(StarvationPrevention(1e9, 1e-9), 3).apply { run(2600) }
        assertFalse(servedAtLeastHalf(overload))
    }
}
