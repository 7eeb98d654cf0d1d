package copperglade.scheduling

import copperglade.protocol.TeamName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.Random

class DeadlinePlanTest {
    /** How many of [order] are in time on a pool of one CPU. */
    private fun jobsInTime(order: List<PlannedJob<Int>>): Int {
        var endSeconds = 0.0
        return order.count { job ->
            endSeconds += job.workCpuSeconds
            endSeconds <= job.dueInSeconds[0]
        }
    }

    private fun <T> permutations(items: List<T>): List<List<T>> =
        if (items.isEmpty()) {
            listOf(items)
        } else {
            items.flatMap { first ->
                permutations(items - first).map {
                    listOf(first) +
                        it
                }
            }
        }

    @Test
    fun `as many jobs are in time as in the best of all orders`() {
        val random = Random(9)
        repeat(60) {
            val jobs = List(6) { PlannedJob(it, 1.0 + random.nextInt(9), listOf(2.0 + random.nextInt(25))) }
            val planned = DeadlinePlan(1.0).order(jobs).map { jobs[it] }
            assertEquals(permutations(jobs).maxOf(::jobsInTime), jobsInTime(planned))
        }
    }

    @Test
    fun `what misses its deadline is planned for the next multiple, the hopeless go last`() {
        val jobs = listOf(
            PlannedJob("hopeless", 1.0, emptyList()),
            PlannedJob("second chance", 10.0, listOf(5.0, 20.0)),
            PlannedJob("in time", 4.0, listOf(5.0, 10.0)),
        )
        assertEquals(listOf("in time", "second chance", "hopeless"), DeadlinePlan(1.0).order(jobs))
    }

    @Test
    fun `a team at its limit is planned within it`() {
        val team = TeamName("small")
        val jobs = listOf(
            PlannedJob("large", 100.0, listOf(10.5), team = team),
            PlannedJob("first", 10.0, listOf(10.8), team = team),
            PlannedJob("second", 10.0, listOf(12.0), team = team),
            PlannedJob("other", 100.0, listOf(30.0), team = TeamName("other")),
        )
        // With all 100 CPUs everything would be in time; with the team's 10, "large" would make the rest late.
        val order = DeadlinePlan(100.0) { if (it == team) 10.0 else 100.0 }.order(jobs)
        assertEquals(listOf("first", "second", "other", "large"), order)
    }
}
