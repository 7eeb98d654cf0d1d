package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.sim.SimSite
import copperglade.storage.Keys
import copperglade.storage.TaskRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random

class RunTableTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `lists by state, job and task range match a scan of all runs`(seed: Long) {
        val random = Random(seed)
        val table = RunTable()
        val expectedRuns = HashMap<TaskId, Run>()
        repeat(2000) {
            val task = TaskId(JobId("job-${random.nextInt(5)}"), random.nextInt(4) * 150)
            val now = MonotonicTime(it.toLong())
            when (random.nextInt(4)) {
                0 -> {
                    val initialState = if (random.nextBoolean()) RunState.WAITING else RunState.MISSING
                    val run = Run(task, SimSite.job(1, tasks = 600), it, 0, initialState, now, table::onStateChanged)
                    expectedRuns[task] = run
                    table.add(run)
                }
                1 -> expectedRuns.remove(task)?.let(table::remove)
                else -> expectedRuns[task]?.transitionTo(RunState.entries[random.nextInt(RunState.entries.size)], "test", now)
            }
            assertEquals(expectedRuns.values.filterTo(HashSet()) { run -> run.state == RunState.WAITING }, table.waiting.toSet())
            assertEquals(expectedRuns.values.filterTo(HashSet()) { run -> run.state == RunState.MISSING }, table.missing.toSet())
            assertEquals(expectedRuns.values.filterTo(HashSet()) { run -> run.task.job == task.job }, table.ofJob(task.job).toSet())
            val range = TaskRange(task.job, task.index / Keys.TASKS_PER_RANGE)
            val runsInRange = expectedRuns.values.filterTo(HashSet()) { run ->
                TaskRange(run.task.job, run.task.index / Keys.TASKS_PER_RANGE) ==
                    range
            }
            assertEquals(runsInRange, table.inRange(range).toSet())
            assertEquals(expectedRuns[task], table[task])
        }
    }
}
