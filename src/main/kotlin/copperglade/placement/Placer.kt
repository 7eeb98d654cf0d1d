package copperglade.placement

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.MachineType
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Resources
import copperglade.protocol.TaskId
import copperglade.scheduling.PlacementCost
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunState
import kotlin.time.Duration.Companion.seconds

/** Finds machines of a shard for its waiting runs, and says what lower work has to make room. */
class Placer(
    private val types: MachineTypeCatalog,
    private val requestOf: (TaskId) -> Resources?,
    private val start: (Run, Machine) -> Unit,
    private val stop: (Run) -> Unit,
    private val giveBack: (Run) -> Unit,
    /** Whether lower work may be stopped for a run. */
    private val mayPreempt: (Run) -> Boolean,
    /** Whether the run's job has just failed on the machine. */
    private val separated: (Run, Machine) -> Boolean,
) {
    private class Candidate(val machine: Machine, val type: MachineType, var free: Resources) {
        /** What stopping array tasks would free, by their priority; worked out once a round, for machines that are asked for it. */
        private val preemptible by lazy(
            LazyThreadSafetyMode.NONE,
        ) { machine.runs.filter { !it.isPreemptedForWaitingRun }.preemptibleCapacity() }

        /** Whether a task of [spec] would fit once all lower work on the machine is stopped. */
        fun fitsWithPreemption(spec: JobSpec): Boolean = preemptible.fitsWithPreemption(spec, free)
    }

    fun place(waiting: List<Run>, usable: List<Machine>, now: MonotonicTime) {
        val candidates = usable.mapNotNull { machine ->
            types[machine.typeName]?.let { Candidate(machine, it, machine.freeCapacity(it, now, requestOf)) }
        }
        val hopeless = HashSet<JobId>()
        val keptFor = HashSet<JobId>()
        for (run in waiting.sortedWith(compareBy({ it.spec.priority }, { it.acceptedAtMillis }, { it.task.index }))) {
            // Nothing makes room in a round, so what holds for one task of a job holds for the next. Weighing every machine again for
            // hundreds of tasks that wait took half of a controller's processor on a recorded day.
            if (run.task.job in hopeless) {
                if (now >= run.stateSince + PATIENCE) giveBack(run)
                continue
            }
            val chosen = choose(run, candidates)
            if (chosen != null) {
                chosen.free -= run.spec.request
                run.restartTarget = null
                start(run, chosen.machine)
                continue
            }
            // What was stopped for it is on its way out, which takes a while where that is saved.
            if (run.awaitsPreemption) continue
            if (mayPreempt(run) && preemptFor(run, candidates)) continue
            // Room gathers for it on one machine, or smaller tasks would take every piece that comes free.
            if (keptFor.add(run.task.job)) {
                candidates.filter { allowed(run.spec, it.machine) }.maxByOrNull { it.free.cpus }?.free = Resources.ZERO
            }
            // Others may be kept from fewer machines than a task that has failed somewhere.
            if (run.avoidedMachines.isEmpty()) hopeless += run.task.job
            if (now >= run.stateSince + PATIENCE) giveBack(run)
        }
    }

    private fun allowed(spec: JobSpec, machine: Machine) = spec.allows(machine.typeName, machine.zone, machine.spot)

    /** The cheapest place, then the fullest: what is empty can be returned. */
    private fun choose(run: Run, candidates: List<Candidate>): Candidate? = candidates
        .filter {
            run.spec.request.fitsIn(it.free) && allowed(run.spec, it.machine) && it.machine.name !in run.avoidedMachines &&
                !separated(run, it.machine) && it.machine.reportedTasks.none { reportedTask -> reportedTask.task == run.task }
        }.minWithOrNull(
            compareBy<Candidate> { if (it.machine.name == run.restartTarget) 0 else 1 }
                .thenBy { cost(run.spec, it, preempts = false) }
                .thenBy { it.free.cpus },
        )

    private fun cost(spec: JobSpec, candidate: Candidate, preempts: Boolean): Double {
        val there = candidate.machine.hasImage(spec.image) || candidate.machine.isFetching(spec.image)
        return PlacementCost.of(spec, candidate.type, candidate.machine.spot, there, preempts)
    }

    /**
     * Stops work of lower priority for [run]; true while such work is on its way out. Only of the cheapest machines is it worked
     * out what would have to be stopped: sorting the runs of every machine for every waiting task, seven times a second, was
     * two thirds of the handlers' time on a recorded day of some 540 machines.
     */
    private fun preemptFor(run: Run, candidates: List<Candidate>): Boolean {
        val costs = candidates
            .filter { it.fitsWithPreemption(run.spec) && allowed(run.spec, it.machine) && it.machine.name !in run.avoidedMachines }
            .map { it to cost(run.spec, it, preempts = true) }
            .sortedBy { it.second }
        val plan = costs
            .take(MAX_PLANS)
            .mapNotNull { (candidate, cost) -> victims(run, candidate)?.let { Plan(cost, it) } }
            .minWithOrNull(compareBy({ it.cost }, { it.victims.size })) ?: return false
        run.preempts(plan.victims)
        plan.victims.forEach(stop)
        return true
    }

    private class Plan(val cost: Double, val victims: List<Run>)

    /** The runs to stop so that [run] fits; those already stopping come first, at no further cost. */
    private fun victims(run: Run, candidate: Candidate): List<Run>? {
        var free = candidate.free
        val chosen = ArrayList<Run>()
        val candidates = candidate.machine.runs
            .filter { it.isPreemptible && !it.isPreemptedForWaitingRun && it.spec.priority > run.spec.priority }
            .sortedWith(
                compareBy<Run> { if (it.state == RunState.STOPPING) 0 else 1 }
                    .thenByDescending { it.spec.priority }
                    .thenByDescending { it.runningSince?.ms ?: Long.MAX_VALUE },
            )
        for (victim in candidates) {
            if (run.spec.request.fitsIn(free)) break
            free += victim.spec.request
            chosen += victim
        }
        return chosen.takeIf { it.isNotEmpty() && run.spec.request.fitsIn(free) }
    }

    private companion object {
        val PATIENCE = 2.seconds
        const val MAX_PLANS = 16
    }
}
