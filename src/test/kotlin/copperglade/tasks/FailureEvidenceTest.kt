package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.seconds

class FailureEvidenceTest {
    private val failureEvidence = FailureEvidence(failingJobMachineThreshold = 2)
    private val now = MonotonicTime(100_000)

    private fun job(number: Int) = JobId("job-$number")

    private fun machine(number: Int) = MachineName("i-$number")

    private fun fail(job: Int, machine: Int, atSecond: Long = 0, durationSeconds: Int = 1) =
        failureEvidence.recordFailure(TaskId(job(job), 0), machine(machine), durationSeconds.seconds, second(atSecond))

    private fun complete(job: Int, machine: Int, startedAtSecond: Long = -1) =
        failureEvidence.recordCompletion(TaskId(job(job), 0), machine(machine), second(startedAtSecond))

    private fun survive(job: Int, machine: Int, startedAtSecond: Long, durationSeconds: Int) =
        failureEvidence.recordSurvival(job(job), machine(machine), second(startedAtSecond), durationSeconds.seconds)

    private fun second(number: Long) = MonotonicTime(now.millis + number * 1000)

    private fun verdictOn(machine: Int) = failureEvidence.verdictOn(machine(machine))

    /** Whether [machine] takes no ordinary work. */
    private fun FailureEvidence.isFaultyMachine(machine: MachineName) = verdictOn(machine) != MachineVerdict.HEALTHY

    @Test
    fun `after a single failure the job avoids the machine temporarily, and neither counts as faulty`() {
        fail(1, 1)
        assertFalse(failureEvidence.isFailingJob(job(1)))
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.shouldAvoid(job(1), machine(1), now))
        assertFalse(failureEvidence.shouldAvoid(job(2), machine(1), now))
        assertFalse(failureEvidence.shouldAvoid(job(1), machine(1), MonotonicTime(now.millis + 11_000)))
    }

    @Test
    fun `a job that fails on two machines counts as failing, and the machines don't count as faulty`() {
        fail(1, 1)
        fail(1, 2)
        assertTrue(failureEvidence.isFailingJob(job(1)))
        fail(3, 1)
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertFalse(failureEvidence.isFaultyMachine(machine(2)))
    }

    @Test
    fun `a machine on which only failing jobs fail does not count as faulty`() {
        (1..3).forEach { job -> (1..3).forEach { fail(job, it) } }
        (1..3).forEach { assertTrue(failureEvidence.isFailingJob(job(it))) }
        (1..3).forEach { assertFalse(failureEvidence.isFaultyMachine(machine(it))) }
    }

    @Test
    fun `a machine on which two jobs fail counts as faulty, and a job that failed on two such machines does not count as failing`() {
        fail(1, 1)
        fail(2, 1)
        fail(1, 2)
        fail(3, 2)
        assertTrue(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.isFaultyMachine(machine(2)))
        assertFalse(failureEvidence.isFailingJob(job(1)))
    }

    @Test
    fun `a completed task clears its job and machine, and is evidence against other jobs that failed on that machine`() {
        fail(1, 1)
        fail(2, 1)
        fail(2, 2)
        complete(3, 1)
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.isFailingJob(job(2)))
        complete(2, 3)
        assertFalse(failureEvidence.isFailingJob(job(2)))
    }

    @Test
    fun `failures of an ended job are not evidence against its machines`() {
        fail(1, 1)
        fail(2, 1)
        failureEvidence.removeJob(job(1))
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
    }

    @ParameterizedTest
    @ValueSource(ints = [2, 3, 10])
    fun `jobs that all fail on the same machines leave it open which are at fault`(jobs: Int) {
        for (machine in 1..2) for (job in 1..jobs) fail(job, machine)
        (1..2).forEach { assertEquals(MachineVerdict.AMBIGUOUS, verdictOn(it)) }
    }

    @Test
    fun `jobs that fail on a single machine make it a suspect, not a proven fault`() {
        fail(1, 1)
        fail(2, 1)
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
    }

    @Test
    fun `a task that starts after failures and completes there shows that the jobs were at fault, for good`() {
        fail(1, 1)
        fail(2, 1)
        complete(3, 1, startedAtSecond = 1)
        fail(1, 1, atSecond = 12)
        fail(2, 1, atSecond = 12)
        assertEquals(MachineVerdict.HEALTHY, verdictOn(1))
        fail(1, 2, atSecond = 12)
        assertTrue(failureEvidence.isFailingJob(job(1)))
    }

    @Test
    fun `a task that was running before the failures clears the machine, and doesn't speak against the jobs`() {
        fail(1, 1)
        fail(2, 1)
        complete(3, 1, startedAtSecond = -1)
        assertEquals(MachineVerdict.HEALTHY, verdictOn(1))
        fail(1, 1, atSecond = 12)
        fail(2, 1, atSecond = 12)
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
    }

    @Test
    fun `a task that outlasts the attempts that failed refutes their failures`() {
        fail(1, 1, durationSeconds = 5)
        fail(2, 1, durationSeconds = 5)
        survive(3, 1, startedAtSecond = 1, durationSeconds = 5)
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
        survive(3, 1, startedAtSecond = -1, durationSeconds = 60)
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
        survive(3, 1, startedAtSecond = 1, durationSeconds = 6)
        assertEquals(MachineVerdict.HEALTHY, verdictOn(1))
    }

    @Test
    fun `tasks that failed on a machine and completed on others prove the machine's fault`() {
        fail(1, 1)
        fail(2, 1)
        complete(1, 2)
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
        complete(2, 3)
        assertEquals(MachineVerdict.FAULTY, verdictOn(1))
        survive(3, 1, startedAtSecond = 1, durationSeconds = 60)
        assertEquals(MachineVerdict.FAULTY, verdictOn(1))
        complete(3, 1, startedAtSecond = 1)
        assertEquals(MachineVerdict.HEALTHY, verdictOn(1))
    }

    @Test
    fun `what other controllers have recorded of a job counts`() {
        fail(1, 1)
        fail(2, 1)
        failureEvidence.recordFailing(job(1))
        assertEquals(MachineVerdict.HEALTHY, verdictOn(1))
        failureEvidence.recordCompletionElsewhere(job(1))
        assertEquals(MachineVerdict.SUSPECTED, verdictOn(1))
    }
}
