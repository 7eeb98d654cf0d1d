package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Distinguishes faulty machines from failing jobs by which job's tasks have failed on which machine.
 *
 * A single failure is evidence against both the job and the machine. Failures of one job on several machines on which no other job
 * fails are evidence against the job. Failures of several jobs on one machine are evidence against the machine. A completed task clears
 * the evidence against both its job and its machine.
 *
 * Failures alone never prove which of the two is at fault, since several failing jobs on a few machines fail just as healthy jobs on
 * faulty machines do. What proves it is a task that doesn't fail:
 * - A task that started on the machine after the failure and was completed, or has run for longer than the attempt that failed, *refutes*
 *   that failure: the job is at fault. Later failures of the job there are no evidence against the machine.
 * - A task that failed on one machine and was completed on another proves that the former machine was at fault.
 *
 * So only [MachineVerdict.FAULTY] may exclude a machine from all placement: under any other verdict the machine must be able to get the
 * task that would refute the verdict.
 *
 * All shards of a process share one instance: with evidence from more machines, a failing job is recognized sooner.
 *
 * @param failingJobMachineThreshold a job is considered failing once it has failed on this many machines on which no other job has
 *   failed or its failure was refuted, or on more machines than this in total.
 */
class FailureEvidence(private val failingJobMachineThreshold: Int) {
    /** The last failure of a job on a machine. [attemptDuration] is the longest time from a start to a failure there. */
    private class Failure(val at: MonotonicTime, val attemptDuration: Duration)

    private class MachineEvidence {
        val failures = HashMap<JobId, Failure>()

        /** The jobs with a task that failed here and was then completed on another machine. */
        val provenBy = HashSet<JobId>()
        var verdict = MachineVerdict.HEALTHY
    }

    private class JobEvidence {
        /** The machines on which the job has failed since one of its tasks was last completed. */
        val machines = HashSet<MachineName>()

        /** Those of [machines] on which a failure of the job was refuted. */
        val refutedOn = HashSet<MachineName>()
        val machinesByFailedTask = HashMap<TaskId, HashSet<MachineName>>()

        /** Set until one of the job's tasks completes, whichever other jobs fail on its machines later. */
        var failing = false
        var isKnownToComplete = false

        /** Drops the evidence against the job: one of its tasks was completed. */
        fun clear() {
            machines.clear()
            refutedOn.clear()
            failing = false
            isKnownToComplete = true
        }
    }

    private val machineEvidence = HashMap<MachineName, MachineEvidence>()
    private val jobEvidence = HashMap<JobId, JobEvidence>()

    /** Records that [task] has failed on [machine], at most [attemptDuration] after it was started there. */
    fun recordFailure(task: TaskId, machine: MachineName, attemptDuration: Duration, now: MonotonicTime) {
        val job = jobEvidence.getOrPut(task.job) { JobEvidence() }
        job.machines += machine
        job.machinesByFailedTask.getOrPut(task) { HashSet() } += machine
        val failures = machineEvidence.getOrPut(machine) { MachineEvidence() }.failures
        val longest = maxOf(attemptDuration, failures[task.job]?.attemptDuration ?: Duration.ZERO)
        failures[task.job] = Failure(now, longest)
        markIfFailing(task.job)
        reassess()
    }

    /**
     * Records that [task], whose start was sent at [startedAt], has completed on [machine]. Clears the evidence against both. Refutes the
     * failures on the machine that came before the start, and proves those of the same task on other machines.
     */
    fun recordCompletion(task: TaskId, machine: MachineName, startedAt: MonotonicTime) {
        jobEvidence[task.job]?.let { job ->
            job.machinesByFailedTask
                .remove(task)
                .orEmpty()
                .filter { it != machine }
                .forEach { proveFault(task.job, it) }
            job.clear()
        }
        val cleared = machineEvidence[machine]?.failures.orEmpty()
        logChange(machine, MachineVerdict.HEALTHY, cleared.keys)
        machineEvidence.remove(machine)
        cleared
            .filterValues { startedAt > it.at }
            .keys
            .filter { it != task.job }
            .forEach { jobEvidence[it]?.refutedOn?.add(machine) }
        cleared.keys.forEach(::markIfFailing)
        reassess()
    }

    /** Records that the records show a completed task of [job], which may have run in a shard of another controller. */
    fun recordCompletionElsewhere(job: JobId) {
        val evidence = jobEvidence[job]?.takeIf { !it.isKnownToComplete } ?: return
        evidence.clear()
        reassess()
    }

    /** Records that the records mark [job] as failing, which another controller may have found. */
    fun recordFailing(job: JobId) {
        val evidence = jobEvidence[job]?.takeIf { !it.failing } ?: return
        evidence.failing = true
        reassess()
    }

    /**
     * Records that a task of [job], whose start was sent at [startedAt], has been running on [machine] for [runDuration]. Refutes the
     * failures of other jobs on the machine that came before the start, after shorter attempts.
     */
    fun recordSurvival(job: JobId, machine: MachineName, startedAt: MonotonicTime, runDuration: Duration) {
        val failures = machineEvidence[machine]?.failures ?: return
        val refuted = failures.filter { (failed, failure) ->
            failed != job && startedAt > failure.at && runDuration > failure.attemptDuration
        }
        if (refuted.isEmpty()) return
        for (failed in refuted.keys) {
            failures.remove(failed)
            jobEvidence[failed]?.refutedOn?.add(machine)
        }
        refuted.keys.forEach(::markIfFailing)
        reassess()
    }

    /** Whether [job] fails on every machine, according to the failures that this process has observed. */
    fun isFailingJob(job: JobId): Boolean = jobEvidence[job]?.failing ?: false

    /** What the failures on [machine] say about it. */
    fun verdictOn(machine: MachineName): MachineVerdict = machineEvidence[machine]?.verdict ?: MachineVerdict.HEALTHY

    /** When a task last failed on [machine] of a job that is evidence against it; [MonotonicTime.NEVER] if none has. */
    fun lastFailureOn(machine: MachineName): MonotonicTime =
        machineEvidence[machine]?.let { evidence -> incriminating(machine, evidence).maxOfOrNull { evidence.failures.getValue(it).at } }
            ?: MonotonicTime.NEVER

    /**
     * Whether [job] has failed on [machine] so recently that its tasks should run elsewhere. Other jobs may still use the machine: if
     * the machine is faulty, the next job fails there too; if the job is failing, the machine stays in use.
     */
    fun shouldAvoid(job: JobId, machine: MachineName, now: MonotonicTime): Boolean =
        machineEvidence[machine]?.failures?.get(job)?.let { now < it.at + AVOIDANCE_PERIOD } ?: false

    /** Drops the evidence from the failures of [job], which has ended, against the job and against the machines on which it failed. */
    fun removeJob(job: JobId) {
        if (jobEvidence.remove(job) == null) return
        machineEvidence.values.forEach {
            it.failures.remove(job)
            it.provenBy.remove(job)
        }
        reassess()
    }

    /** Drops the evidence against [machine], which was removed from its shard, or whose shard has another owner now. */
    fun removeMachine(machine: MachineName) {
        if (machineEvidence.remove(machine) != null) reassess()
    }

    private fun proveFault(job: JobId, machine: MachineName) {
        val evidence = machineEvidence[machine] ?: return
        if (job in evidence.failures) evidence.provenBy += job
    }

    private fun markIfFailing(job: JobId) {
        val evidence = jobEvidence[job] ?: return
        if (evidence.failing || !failsEverywhere(evidence)) return
        evidence.failing = true
        log.info("job_failing job={} machines={} refuted_on={}", job, evidence.machines, evidence.refutedOn)
    }

    private fun failsEverywhere(job: JobEvidence): Boolean = job.machines.size > failingJobMachineThreshold ||
        job.machines.count { it in job.refutedOn || isOnlyFailure(it) } >= failingJobMachineThreshold

    private fun isOnlyFailure(machine: MachineName): Boolean = machineEvidence[machine]?.failures.orEmpty().size <= 1

    /** The jobs whose failures are evidence against [machine]. */
    private fun incriminating(machine: MachineName, evidence: MachineEvidence): List<JobId> =
        evidence.failures.keys.filter { isEvidenceAgainst(machine, it) }

    private fun isEvidenceAgainst(machine: MachineName, job: JobId): Boolean =
        jobEvidence[job]?.let { !it.failing && machine !in it.refutedOn } ?: false

    private fun failsElsewhere(job: JobId): Boolean = (jobEvidence[job]?.machines?.size ?: 0) > 1

    /** Derives all verdicts anew: what is learned of one job may change the verdict on each machine on which it has failed. */
    private fun reassess() {
        for ((machine, evidence) in machineEvidence) {
            val jobs = incriminating(machine, evidence)
            val verdict = verdict(jobs, evidence.provenBy)
            if (verdict == evidence.verdict) continue
            logChange(machine, verdict, jobs)
            evidence.verdict = verdict
        }
    }

    private fun verdict(jobs: List<JobId>, provenBy: Set<JobId>): MachineVerdict = when {
        (provenBy + jobs).size < FAULTY_MACHINE_JOB_THRESHOLD -> MachineVerdict.HEALTHY
        provenBy.size >= FAULTY_MACHINE_JOB_THRESHOLD -> MachineVerdict.FAULTY
        provenBy.isEmpty() && jobs.all(::failsElsewhere) -> MachineVerdict.AMBIGUOUS
        else -> MachineVerdict.SUSPECTED
    }

    private fun logChange(machine: MachineName, to: MachineVerdict, jobs: Collection<JobId>) {
        val from = verdictOn(machine)
        if (from != to) log.info("machine_verdict_changed machine={} from={} to={} failed_jobs={}", machine, from, to, jobs)
    }

    private companion object {
        const val FAULTY_MACHINE_JOB_THRESHOLD = 2

        /** How long a job's tasks are not placed on a machine on which one of them has failed. */
        val AVOIDANCE_PERIOD = 10.seconds
        val log = LoggerFactory.getLogger("tasks")
    }
}
