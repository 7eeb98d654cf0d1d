package copperglade.observability

import copperglade.protocol.Attempt
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TaskActionHistoryTest {
    private val task = TaskId(JobId("job-1"), 7)
    private val attempt = Attempt.of(FencingToken(9), counter = 3)

    private fun action(atMillis: Long, event: String, task: TaskId = this.task) =
        TaskAction(MonotonicTime(atMillis), event, task, attempt, MachineName("i-1"), 1, "channel=answer")

    @Test
    fun `the history of a task is kept in order and names attempt, machine, epoch and token`() {
        val history = TaskActionHistory()
        history.record(action(100, "start_sent"))
        history.record(action(150, "start_sent", TaskId(JobId("job-2"), 7)))
        history.record(action(300, "remove_sent"))
        val lines = history.of(task).map { it.describe(MonotonicTime(400)) }
        val expected = listOf("start_sent(age_ms=300", "remove_sent(age_ms=100")
            .map { "$it attempt=$attempt machine=i-1 epoch=1 fencing_token=9 channel=answer)" }
        assertEquals(expected, lines)
    }

    @Test
    fun `the oldest actions are dropped once the history is full`() {
        val history = TaskActionHistory(capacity = 4_000)
        repeat(10_000) { history.record(action(it.toLong(), "start_sent", TaskId(JobId("job-$it"), 0))) }
        assertEquals(4_000, history.size)
        assertEquals(0, history.of(TaskId(JobId("job-5999"), 0)).size)
        assertEquals(1, history.of(TaskId(JobId("job-6000"), 0)).size)
    }
}
