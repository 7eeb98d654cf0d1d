package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Distinguishes faulty machines from failing jobs by which job's tasks have failed on which machine.
 *
 * A single failure is evidence against both the job and the machine. Failures of one job on several machines on which no other job
 * fails are evidence against the job. Failures of several jobs on one machine, none of which fails elsewhere as well, are evidence
 * against the machine. A completed task clears the evidence against both its job and its machine.
 *
 * Guards against two opposite errors: replacing one machine after another because of a job that fails everywhere, and letting a
 * faulty machine fail the tasks of healthy jobs.
 *
 * All shards of a process share one instance: with evidence from more machines, a failing job is recognized sooner.
 *
 * @param failingJobMachineThreshold a job is considered failing once it has failed on this many machines on which no other job has
 *   failed, or on more machines than this in total.
 */
class FailureEvidence(private val failingJobMachineThreshold: Int) {
    private val machinesByJob = HashMap<JobId, HashSet<MachineName>>()
    private val failuresByMachine = HashMap<MachineName, HashMap<JobId, MonotonicTime>>()

    /** A job stays here until one of its tasks completes, whichever other jobs fail on its machines later. */
    private val failingJobs = HashSet<JobId>()

    /** Records that a task of [job] has failed on [machine]. */
    fun recordFailure(job: JobId, machine: MachineName, now: MonotonicTime) {
        machinesByJob.getOrPut(job) { HashSet() } += machine
        failuresByMachine.getOrPut(machine) { HashMap() }[job] = now
        if (failsEverywhere(job)) failingJobs += job
    }

    /** Records that a task of [job] has completed on [machine], which clears the evidence against both. */
    fun recordCompletion(job: JobId, machine: MachineName) {
        machinesByJob.remove(job)
        failingJobs.remove(job)
        val cleared = failuresByMachine.remove(machine) ?: return
        failingJobs += cleared.keys.filter(::failsEverywhere)
    }

    /** Whether [job] fails on every machine, according to the failures that this process has observed. */
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
     * Whether [job] has failed on [machine] so recently that its tasks should run elsewhere. Other jobs may still use the machine: if
     * the machine is faulty, the next job fails there too; if the job is failing, the machine stays in use.
     */
    fun shouldAvoid(job: JobId, machine: MachineName, now: MonotonicTime): Boolean =
        failuresByMachine[machine]?.get(job)?.let { now < it + AVOIDANCE_PERIOD } ?: false

    /** Drops the evidence from the failures of [job], which has ended, against the job and against the machines on which it failed. */
    fun removeJob(job: JobId) {
        failingJobs.remove(job)
        machinesByJob.remove(job)?.forEach { failuresByMachine[it]?.remove(job) }
    }

    /** Drops the evidence against [machine], which was removed from its shard. */
    fun removeMachine(machine: MachineName) {
        failuresByMachine.remove(machine)
    }

    private companion object {
        const val FAULTY_MACHINE_JOB_THRESHOLD = 2

        /** How long a job's tasks are not placed on a machine on which one of them has failed. */
        val AVOIDANCE_PERIOD = 10.seconds
    }
}
