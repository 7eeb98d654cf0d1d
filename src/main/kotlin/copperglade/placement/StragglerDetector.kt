package copperglade.placement

import copperglade.fleet.MachineTypeCatalog
import copperglade.prediction.ProfileStore
import copperglade.prediction.RestartOption
import copperglade.prediction.RestartVerdict
import copperglade.prediction.RiskAssessment
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
import copperglade.tasks.Run
import copperglade.tasks.RunState
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

class RestartDecision(val run: Run, val target: MachineName)

/** Looks for stragglers in one shard and weighs restarting them on another of its machines (section 6 and DESIGN). */
class StragglerDetector(
    private val profiles: ProfileStore,
    private val types: MachineTypeCatalog,
    private val failureEvidence: FailureEvidence,
    private val timeouts: HeartbeatTimeouts,
    private val stragglerFactor: Double,
    private val requestOf: (TaskId) -> Resources?,
) {
    private var nextLook = MonotonicTime.NEVER
    private var turns = 0

    fun look(machines: Collection<Machine>, now: MonotonicTime): List<RestartDecision> {
        if (now < nextLook) return emptyList()
        nextLook = now + INTERVAL
        val free = HashMap<MachineName, Resources>()
        for (machine in machines) {
            val type = types[machine.typeName] ?: continue
            val silent = now >= machine.lastContactAt + timeouts.heartbeatIntervals(2.0)
            if (machine.draining || machine.deleting || machine.evictionNoticed || failureEvidence.blamesMachine(machine.name) ||
                silent
            ) {
                continue
            }
            free[machine.name] = machine.freeCapacity(type, now, requestOf)
        }
        if (free.values.none { it.cpus > 0.0 }) return emptyList()
        // Hundreds of tasks may be late at a time. A few are weighed at each look, all in turn.
        val late = machines.flatMap { it.runs }.filter { eligible(it) && isLate(it, now) }
        if (late.isEmpty()) return emptyList()
        val turn = turns % late.size
        turns += MAX_WEIGHED
        return (late.drop(turn) + late.take(turn)).take(MAX_WEIGHED).mapNotNull { run ->
            decide(run, machines, free, now)?.also { free.merge(it.target, run.spec.request) { a, b -> a - b } }
        }
    }

    /** Past its job's average run time. */
    private fun isLate(run: Run, now: MonotonicTime): Boolean {
        val elapsed = now.secondsSince(run.runningSince ?: return false)
        val average = profiles.averageRunSeconds(run.task.job, run.spec.load) ?: return false
        return elapsed > average * stragglerFactor
    }

    /** Services never finish, gangs run together or not at all, and once is enough for any task. */
    private fun eligible(run: Run) = run.state == RunState.RUNNING && run.spec.kind == JobKind.ARRAY && !run.restarted

    private fun decide(run: Run, machines: Collection<Machine>, free: Map<MachineName, Resources>, now: MonotonicTime): RestartDecision? {
        val home = run.machine ?: return null
        val elapsed = now.secondsSince(run.runningSince ?: return null)
        val average = profiles.averageRunSeconds(run.task.job, run.spec.load) ?: return null
        // A slow machine has done less of the task than the time says.
        val done = elapsed * profiles.speedOf(home.name)
        val similar = profiles.similar(run.spec.load, done)
        val here = profiles.predict(home.name, factorsOn(home, run, home.runs.size), similar) ?: return null
        val remaining = here.average - elapsed
        val fitting = machines.filter { machine ->
            val freeCapacity = free[machine.name]
            freeCapacity != null && machine !== home && machine.name !in run.avoidedMachines && run.spec.request.fitsIn(freeCapacity) &&
                run.spec.allows(machine.typeName, machine.zone, machine.spot)
        }
        val options = fitting.sortedByDescending { free.getValue(it.name).cpus }.take(MAX_OPTIONS).mapNotNull { machine ->
            val type = types[machine.typeName] ?: return@mapNotNull null
            val prediction = profiles.predict(machine.name, factorsOn(machine, run, machine.runs.size + 1), similar)
            val fetchS = if (machine.hasImage(run.spec.image)) 0.0 else run.spec.image.gb / type.fetchGbPerSecond.coerceAtLeast(TINY)
            prediction?.let { RestartOption(machine.name, it, fetchS) }
        }
        return when (val verdict = RiskAssessment.weigh(options, remaining)) {
            is RestartVerdict.Restart -> {
                log.info(
                    "straggler {} on {}: ran {} s, average {} s, needs {} s more; restart on {} expects {} s, worst {} s, profit {} s",
                    run.task,
                    home.name,
                    round(elapsed),
                    round(average),
                    round(remaining),
                    verdict.option.place,
                    round(verdict.option.prediction.average),
                    round(verdict.option.prediction.worst + verdict.option.fetchS),
                    round(verdict.profit),
                )
                RestartDecision(run, verdict.option.place)
            }
            is RestartVerdict.TooRisky -> {
                log.debug("straggler {} stays: profit {} s, but worst {} s of {} s", run.task, verdict.profit, verdict.worstS, remaining)
                null
            }
            is RestartVerdict.NoProfit -> {
                log.debug("straggler {} stays: best profit {} s of {} options", run.task, verdict.best, options.size)
                null
            }
        }
    }

    private fun factorsOn(machine: Machine, run: Run, neighbours: Int) =
        TaskFactors(run.task.job, run.spec.load, machine.typeName, run.spec.request, neighbours)

    private fun round(seconds: Double) = Math.round(seconds * 10) / 10.0

    private companion object {
        const val TINY = 1e-6
        const val MAX_WEIGHED = 4

        /**
         * Weighing hundreds of machines for each straggler was a quarter of the processor on a grown day, and sixteen, every
         * second, still an eighth on a fleet day.
         */
        const val MAX_OPTIONS = 8
        val INTERVAL = 2.seconds
        val log = LoggerFactory.getLogger("risk")
    }
}
