package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Tells faulty machines from faulty jobs by which job's tasks have failed on which machine.
 *
 * One failure speaks against both. Failures of one job on several machines on which no other job fails speak against the job;
 * failures of several jobs on one machine, none of which fails elsewhere as well, speak against the machine. A completed task
 * clears both its job and its machine.
 *
 * Guards against two opposite errors: taking one machine after another out of use because of a job that fails everywhere, and
 * letting a faulty machine go on failing the tasks of healthy jobs.
 *
 * There is one instance for all shards of a process: the more machines it covers, the sooner a failing job is recognized.
 *
 * @param failingJobMachineThreshold a job is blamed once it has failed on this many machines that fail for no other job, or on one
 *   more than that whatever else fails there.
 */
class FailureEvidence(private val failingJobMachineThreshold: Int) {
    private val machinesByJob = HashMap<JobId, HashSet<MachineName>>()
    private val failuresByMachine = HashMap<MachineName, HashMap<JobId, MonotonicTime>>()

    /** Once blamed, a job stays blamed until one of its tasks completes, whatever else fails on its machines later. */
    private val failingJobs = HashSet<JobId>()

    /** Records that a task of [job] has failed on [machine]. */
    fun recordFailure(job: JobId, machine: MachineName, now: MonotonicTime) {
        machinesByJob.getOrPut(job) { HashSet() } += machine
        failuresByMachine.getOrPut(machine) { HashMap() }[job] = now
        if (failsEverywhere(job)) failingJobs += job
    }

    /** Records that a task of [job] has completed on [machine], which clears both. */
    fun recordCompletion(job: JobId, machine: MachineName) {
        machinesByJob.remove(job)
        failingJobs.remove(job)
        val cleared = failuresByMachine.remove(machine) ?: return
        failingJobs += cleared.keys.filter(::failsEverywhere)
    }

    /** Whether [job] fails wherever it runs, as far as this process has seen. */
    fun isFailingJob(job: JobId): Boolean = job in failingJobs

    private fun failsEverywhere(job: JobId): Boolean {
        val machines = machinesByJob[job] ?: return false
        return machines.size > failingJobMachineThreshold ||
            machines.count { failuresByMachine[it].orEmpty().size <= 1 } >= failingJobMachineThreshold
    }

    /** Whether [machine] fails the tasks of healthy jobs and should be replaced. */
    fun isFaultyMachine(machine: MachineName): Boolean =
        failuresByMachine[machine].orEmpty().keys.count { !isFailingJob(it) } >= FAULTY_MACHINE_JOB_THRESHOLD

    /**
     * Whether [job] has failed on [machine] so recently that its tasks should run elsewhere. Other jobs may still use the machine:
     * if it is faulty, the next of them shows it, and if the job is failing, the machine stays in use.
     */
    fun shouldAvoid(job: JobId, machine: MachineName, now: MonotonicTime): Boolean =
        failuresByMachine[machine]?.get(job)?.let { now < it + AVOIDANCE_PERIOD } ?: false

    /** Drops the evidence that [job], which has ended, left against itself and against the machines on which it failed. */
    fun removeJob(job: JobId) {
        failingJobs.remove(job)
        machinesByJob.remove(job)?.forEach { failuresByMachine[it]?.remove(job) }
    }

    /** Drops the evidence against [machine], which no longer exists. */
    fun removeMachine(machine: MachineName) {
        failuresByMachine.remove(machine)
    }

    private companion object {
        const val FAULTY_MACHINE_JOB_THRESHOLD = 2

        /** How long a job's tasks keep away from a machine on which one of them has failed. */
        val AVOIDANCE_PERIOD = 10.seconds
    }
}
