package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Tells faulty machines from jobs that were submitted with a mistake, by which job's tasks failed on which machine.
 *
 * One failure speaks against both. Failures of one job on several machines, where no other job fails, speak against the job;
 * failures of several jobs on one machine, none of which fails elsewhere as well, speak against the machine. A completed task
 * clears its job and its machine.
 *
 * Guards against two opposite errors: a job that fails everywhere would take one machine after another out of use, and a
 * faulty machine would go on ruining the tasks of jobs that are sound.
 *
 * @param failingJobMachineThreshold on how many machines, that fail for no other job, a job has to fail to be taken for failing.
 */
class FailureEvidence(private val failingJobMachineThreshold: Int) {
    private val machinesByJob = HashMap<JobId, HashSet<MachineName>>()
    private val failuresByMachine = HashMap<MachineName, HashMap<JobId, MonotonicTime>>()

    /** Once blamed, a job stays so until one of its tasks is completed, whatever fails beside it later. */
    private val blamedJobs = HashSet<JobId>()

    /** A task of [job] has failed on [machine]. */
    fun failed(job: JobId, machine: MachineName, now: MonotonicTime) {
        machinesByJob.getOrPut(job) { HashSet() } += machine
        failuresByMachine.getOrPut(machine) { HashMap() }[job] = now
        if (failsEverywhere(job)) blamedJobs += job
    }

    /** A task of [job] was completed on [machine]: neither of them fails always. */
    fun completed(job: JobId, machine: MachineName) {
        machinesByJob.remove(job)
        blamedJobs.remove(job)
        val cleared = failuresByMachine.remove(machine) ?: return
        blamedJobs += cleared.keys.filter(::failsEverywhere)
    }

    /** Whether [job] fails wherever it runs, as far as is known here. */
    fun blamesJob(job: JobId): Boolean = job in blamedJobs

    private fun failsEverywhere(job: JobId): Boolean {
        val machines = machinesByJob[job] ?: return false
        return machines.size > failingJobMachineThreshold ||
            machines.count { failuresByMachine[it].orEmpty().size <= 1 } >= failingJobMachineThreshold
    }

    /** Whether [machine] ruins the tasks of sound jobs and had better be replaced. */
    fun blamesMachine(machine: MachineName): Boolean =
        failuresByMachine[machine].orEmpty().keys.count { !blamesJob(it) } >= JOBS_TO_BLAME_MACHINE

    /**
     * Whether [job] has failed on [machine] so lately that its tasks had better go elsewhere. Other jobs may go there: where
     * the machine is faulty that shows with the next of them, and where the job is failing the machine stays in use.
     */
    fun shouldAvoid(job: JobId, machine: MachineName, now: MonotonicTime): Boolean =
        failuresByMachine[machine]?.get(job)?.let { now < it + AVOIDANCE_PERIOD } ?: false

    /** The job is over: what is still open between it and the machines it failed on is not held against them. */
    fun forgetJob(job: JobId) {
        blamedJobs.remove(job)
        machinesByJob.remove(job)?.forEach { failuresByMachine[it]?.remove(job) }
    }

    /** The machine is gone. */
    fun forgetMachine(machine: MachineName) {
        failuresByMachine.remove(machine)
    }

    private companion object {
        const val JOBS_TO_BLAME_MACHINE = 2

        /** For so long a job's tasks are not placed on a machine where one of them has failed. */
        val AVOIDANCE_PERIOD = 10.seconds
    }
}
