package copperglade.placement

import copperglade.fleet.MachineTypeCatalog
import copperglade.prediction.ProfileStore
import copperglade.prediction.RestartOption
import copperglade.prediction.RestartVerdict
import copperglade.prediction.RiskAssessment
import copperglade.prediction.SimilarTask
import copperglade.prediction.TaskFactors
import copperglade.protocol.JobKind
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Resources
import copperglade.protocol.TaskId
import copperglade.protocol.secondsSince
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.MachineVerdict
import copperglade.tasks.Run
import copperglade.tasks.RunState
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** A straggler that should be stopped and run again on [target]. */
internal class StragglerRestart(val run: Run, val target: MachineName)

/**
 * Finds the stragglers of one shard, and assesses the risk of restarting each on another machine of the shard (section 6 of the
 * paper and DESIGN).
 */
internal class StragglerDetector(
    private val profiles: ProfileStore,
    private val types: MachineTypeCatalog,
    private val failureEvidence: FailureEvidence,
    private val timeouts: HeartbeatTimeouts,
    private val stragglerFactor: Double,
    private val requestOf: (TaskId) -> Resources?,
) {
    /**
     * The progress of a straggler.
     *
     * @property jobAverageSeconds the average run time of the tasks of the straggler's job.
     * @property remainingSeconds the predicted remaining run time on the straggler's current machine.
     */
    private class Progress(val elapsedSeconds: Double, val jobAverageSeconds: Double, val remainingSeconds: Double)

    private var nextCheckAt = MonotonicTime.NEVER
    private var rotationOffset = 0

    /**
     * Assesses up to [MAX_ASSESSED_PER_CHECK] of the stragglers on [machines] and returns those that are worth restarting. Later
     * checks assess the other stragglers in rotation. Returns an empty list between checks.
     */
    fun findRestarts(machines: Collection<Machine>, now: MonotonicTime): List<StragglerRestart> {
        if (now < nextCheckAt) return emptyList()
        nextCheckAt = now + CHECK_INTERVAL
        val free = freeCapacity(machines, now)
        if (free.values.none { it.cpus > 0.0 }) return emptyList()
        val stragglers = machines.flatMap { it.runs }.filter { isEligible(it) && isStraggler(it, now) }
        if (stragglers.isEmpty()) return emptyList()
        return nextInRotation(stragglers).mapNotNull { run ->
            assess(run, machines, free, now)?.also { free.merge(it.target, run.spec.request) { a, b -> a - b } }
        }
    }

    /** Returns the free capacity of the machines that may be the target of a restart. */
    private fun freeCapacity(machines: Collection<Machine>, now: MonotonicTime): MutableMap<MachineName, Resources> {
        val free = HashMap<MachineName, Resources>()
        for (machine in machines) {
            val type = types[machine.typeName] ?: continue
            if (isPossibleTarget(machine, now)) free[machine.name] = machine.freeCapacity(type, now, requestOf)
        }
        return free
    }

    private fun isPossibleTarget(machine: Machine, now: MonotonicTime): Boolean =
        !machine.draining && !machine.deleting && !machine.evictionNoticed &&
            failureEvidence.verdictOn(machine.name) == MachineVerdict.HEALTHY &&
            now < machine.lastContactAt + timeouts.heartbeatIntervals(MAX_HEARTBEAT_INTERVALS)

    private fun nextInRotation(stragglers: List<Run>): List<Run> {
        val first = rotationOffset % stragglers.size
        rotationOffset += MAX_ASSESSED_PER_CHECK
        return (stragglers.drop(first) + stragglers.take(first)).take(MAX_ASSESSED_PER_CHECK)
    }

    /** Excludes services, which never finish, gangs, which run together or not at all, and tasks that were restarted once already. */
    private fun isEligible(run: Run) = run.state == RunState.RUNNING && run.spec.kind == JobKind.ARRAY && !run.restarted

    /** Returns whether [run] has run for longer than [stragglerFactor] times the average of its job's tasks (section 6.1). */
    private fun isStraggler(run: Run, now: MonotonicTime): Boolean {
        val elapsedSeconds = now.secondsSince(run.runningSince ?: return false)
        val averageSeconds = profiles.averageRunSeconds(run.task.job, run.spec.workloadClass) ?: return false
        return elapsedSeconds > averageSeconds * stragglerFactor
    }

    private fun assess(run: Run, machines: Collection<Machine>, free: Map<MachineName, Resources>, now: MonotonicTime): StragglerRestart? {
        val source = run.machine ?: return null
        val elapsedSeconds = now.secondsSince(run.runningSince ?: return null)
        val jobAverageSeconds = profiles.averageRunSeconds(run.task.job, run.spec.workloadClass) ?: return null
        // On a slow machine less of the task is done than the elapsed time suggests.
        val doneSeconds = elapsedSeconds * profiles.speedOf(source.name)
        val similarTasks = profiles.similarTasks(run.spec.workloadClass, doneSeconds)
        val prediction = profiles.predict(source.name, factors(source, run, source.runs.size), similarTasks) ?: return null
        val progress = Progress(elapsedSeconds, jobAverageSeconds, prediction.averageSeconds - elapsedSeconds)
        val options = possibleTargets(run, source, machines, free).mapNotNull { restartOption(run, it, similarTasks) }
        val verdict = RiskAssessment.assess(options, progress.remainingSeconds)
        logVerdict(verdict, run, source, progress, options.size)
        return when (verdict) {
            is RestartVerdict.Restart -> StragglerRestart(run, verdict.option.target)
            is RestartVerdict.TooRisky, is RestartVerdict.NoProfit -> null
        }
    }

    /** Returns up to [MAX_RESTART_OPTIONS] machines on which [run] fits, those with the most free CPUs first. */
    private fun possibleTargets(
        run: Run,
        source: Machine,
        machines: Collection<Machine>,
        free: Map<MachineName, Resources>,
    ): List<Machine> = machines
        .filter { machine ->
            val freeCapacity = free[machine.name]
            freeCapacity != null && machine !== source && machine.name !in run.avoidedMachines && run.spec.request.fitsIn(freeCapacity) &&
                run.spec.allows(machine.typeName, machine.zone, machine.spot)
        }.sortedByDescending { free.getValue(it.name).cpus }
        .take(MAX_RESTART_OPTIONS)

    /** Returns null where the store holds too few similar tasks, or where the machine's type is unknown. */
    private fun restartOption(run: Run, machine: Machine, similarTasks: List<SimilarTask>): RestartOption<MachineName>? {
        val type = types[machine.typeName] ?: return null
        val prediction = profiles.predict(machine.name, factors(machine, run, machine.runs.size + 1), similarTasks)
        val fetchSeconds =
            if (machine.hasImage(run.spec.image)) {
                0.0
            } else {
                run.spec.image.sizeGb /
                    type.fetchGbPerSecond.coerceAtLeast(MIN_FETCH_GB_PER_SECOND)
            }
        return prediction?.let { RestartOption(machine.name, it, fetchSeconds) }
    }

    private fun factors(machine: Machine, run: Run, tasksOnMachine: Int) =
        TaskFactors(run.task.job, run.spec.workloadClass, machine.typeName, run.spec.request, tasksOnMachine)

    private fun logVerdict(verdict: RestartVerdict<MachineName>, run: Run, source: Machine, progress: Progress, options: Int) =
        when (verdict) {
            is RestartVerdict.Restart -> log.info(
                "straggler_restart task={} from={} to={} elapsed_seconds={} job_average_seconds={} " +
                    "remaining_seconds={} expected_seconds={} worst_seconds={} profit_seconds={}",
                run.task,
                source.name,
                verdict.option.target,
                roundToTenths(progress.elapsedSeconds),
                roundToTenths(progress.jobAverageSeconds),
                roundToTenths(progress.remainingSeconds),
                roundToTenths(verdict.option.prediction.averageSeconds),
                roundToTenths(verdict.option.worstSeconds),
                roundToTenths(verdict.profitSeconds),
            )
            is RestartVerdict.TooRisky -> log.debug(
                "straggler_restart_too_risky task={} profit_seconds={} worst_seconds={} remaining_seconds={}",
                run.task,
                verdict.profitSeconds,
                verdict.worstSeconds,
                progress.remainingSeconds,
            )
            is RestartVerdict.NoProfit -> log.debug(
                "straggler_restart_unprofitable task={} best_profit_seconds={} options={}",
                run.task,
                verdict.bestProfitSeconds,
                options,
            )
        }

    private fun roundToTenths(seconds: Double) = Math.round(seconds * 10) / 10.0

    private companion object {
        const val MIN_FETCH_GB_PER_SECOND = 1e-6
        const val MAX_ASSESSED_PER_CHECK = 4

        /** Predictions for each straggler on all machines would use a large part of the processor time. */
        const val MAX_RESTART_OPTIONS = 8
        const val MAX_HEARTBEAT_INTERVALS = 2.0
        val CHECK_INTERVAL = 2.seconds
        val log = LoggerFactory.getLogger("placement")
    }
}
