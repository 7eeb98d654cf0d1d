package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailureEvidenceTest {
    private val failureEvidence = FailureEvidence(failingJobMachineThreshold = 2)
    private val now = MonotonicTime(100_000)

    private fun job(number: Int) = JobId("job-$number")

    private fun machine(number: Int) = MachineName("i-$number")

    private fun fail(job: Int, machine: Int) = failureEvidence.recordFailure(job(job), machine(machine), now)

    @Test
    fun `one failure only keeps the job from the machine for a while`() {
        fail(1, 1)
        assertFalse(failureEvidence.isFailingJob(job(1)))
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.shouldAvoid(job(1), machine(1), now))
        assertFalse(failureEvidence.shouldAvoid(job(2), machine(1), now))
        assertFalse(failureEvidence.shouldAvoid(job(1), machine(1), MonotonicTime(now.millis + 11_000)))
    }

    @Test
    fun `a job that fails on several machines is blamed, and they are not`() {
        fail(1, 1)
        fail(1, 2)
        assertTrue(failureEvidence.isFailingJob(job(1)))
        fail(3, 1)
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertFalse(failureEvidence.isFaultyMachine(machine(2)))
    }

    @Test
    fun `several failing jobs on one machine don't make it faulty`() {
        (1..3).forEach { job -> (1..3).forEach { fail(job, it) } }
        (1..3).forEach { assertTrue(failureEvidence.isFailingJob(job(it))) }
        (1..3).forEach { assertFalse(failureEvidence.isFaultyMachine(machine(it))) }
    }

    @Test
    fun `a machine on which several jobs fail is blamed, and a job that was on two such machines is not`() {
        fail(1, 1)
        fail(2, 1)
        fail(1, 2)
        fail(3, 2)
        assertTrue(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.isFaultyMachine(machine(2)))
        assertFalse(failureEvidence.isFailingJob(job(1)))
    }

    @Test
    fun `a completed task clears its job and its machine, and speaks against other jobs that failed there`() {
        fail(1, 1)
        fail(2, 1)
        fail(2, 2)
        failureEvidence.recordCompletion(job(3), machine(1))
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
        assertTrue(failureEvidence.isFailingJob(job(2)))
        failureEvidence.recordCompletion(job(2), machine(3))
        assertFalse(failureEvidence.isFailingJob(job(2)))
    }

    @Test
    fun `what a job that is over left open is not held against its machines`() {
        fail(1, 1)
        fail(2, 1)
        failureEvidence.removeJob(job(1))
        assertFalse(failureEvidence.isFaultyMachine(machine(1)))
    }
}
