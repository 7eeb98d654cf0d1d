package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.JobId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CommandChannelTest {
    private val channel = CommandChannel()
    private val task = TaskId(JobId("job-1"), 0)
    private val sentAt = MonotonicTime(10_000)

    private fun mayTakeEffect(attempt: Attempt, at: MonotonicTime) = channel.startMayTakeEffect(task, attempt, at)

    @Test
    fun `a start may take effect for as long as a worker may accept the response, whatever is answered meanwhile`() {
        channel.recordStartSent(task, Attempt(1), sentAt)
        channel.recordCommandSent(sentAt)
        channel.recordCommandAnswered()
        channel.recordHeartbeatAnswered()
        channel.discardExecutedRemovals(emptyList())
        // Workers drop a response 4 s after their heartbeat; their clocks may drift.
        assertTrue(mayTakeEffect(Attempt(1), sentAt + 4010.milliseconds))
        assertFalse(mayTakeEffect(Attempt(1), sentAt + 5.seconds))
        assertFalse(mayTakeEffect(Attempt(2), sentAt))
    }

    @Test
    fun `a start that is sent again may take effect until its last response is dropped`() {
        channel.recordStartSent(task, Attempt(1), sentAt)
        channel.recordStartSent(task, Attempt(1), sentAt + 4.seconds)
        assertTrue(mayTakeEffect(Attempt(1), sentAt + 8.seconds))
        assertFalse(mayTakeEffect(Attempt(1), sentAt + 9.seconds))
    }

    @Test
    fun `a heartbeat is due for a second after commands that change the worker's tasks, unless it has come`() {
        assertFalse(sentAt < channel.heartbeatDueUntil)
        channel.expectHeartbeat(sentAt)
        assertTrue(sentAt + 900.milliseconds < channel.heartbeatDueUntil)
        assertFalse(sentAt + 1.seconds < channel.heartbeatDueUntil)
        channel.expectHeartbeat(sentAt)
        channel.recordHeartbeatAnswered()
        assertFalse(sentAt < channel.heartbeatDueUntil)
    }
}
