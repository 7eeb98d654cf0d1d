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

/** What a [Placer] asks of its shard, and what it has done there. */
internal interface PlacementActions {
    /** Whether tasks of lower priority may be preempted for [run]. */
    fun mayPreemptFor(run: Run): Boolean

    /** Whether the run's job is kept from [machine] because it has just failed there. */
    fun mustAvoid(run: Run, machine: Machine): Boolean

    fun start(run: Run, machine: Machine)

    fun preempt(victim: Run)

    /** Gives [run] back to the leader, which may assign it to another shard. */
    fun returnToLeader(run: Run)
}

/**
 * Places the waiting runs of a shard on its machines: filters and scores the machines for each run, binds it to the best,
 * and preempts tasks of lower priority where none has the capacity.
 */
internal class Placer(
    private val types: MachineTypeCatalog,
    private val requestOf: (TaskId) -> Resources?,
    private val actions: PlacementActions,
) {
    /** A usable machine, and its free capacity less what this round has placed there. */
    private class Candidate(val machine: Machine, val type: MachineType, var free: Resources) {
        /** Built on demand: most machines are never considered for preemption. */
        private val preemptible by lazy(
            LazyThreadSafetyMode.NONE,
        ) { machine.runs.filter { !it.isPreemptedForWaitingRun }.preemptibleCapacity() }

        /** Whether a task of [spec] fits after preempting all tasks of lower priority. */
        fun fitsWithPreemption(spec: JobSpec): Boolean = preemptible.fitsWithPreemption(spec, free)
    }

    private class ScoredCandidate(val candidate: Candidate, val cost: Double)

    private class PreemptionPlan(val cost: Double, val victims: List<Run>)

    /** One pass over the waiting runs. Free capacity only shrinks in it. */
    private class Round(val candidates: List<Candidate>, val now: MonotonicTime) {
        /** Jobs of which a task was found to fit nowhere; then none of its other tasks fits either. */
        val unplaceableJobs = HashSet<JobId>()

        /** Jobs for which a machine has been reserved. */
        val jobsWithReservation = HashSet<JobId>()
    }

    /** Starts those of the [waiting] runs that fit on [usable] machines; preempts for, or gives back, the others. */
    fun place(waiting: List<Run>, usable: List<Machine>, now: MonotonicTime) {
        val candidates = usable.mapNotNull { machine ->
            types[machine.typeName]?.let { Candidate(machine, it, machine.freeCapacity(it, now, requestOf)) }
        }
        val round = Round(candidates, now)
        for (run in waiting.sortedWith(compareBy({ it.spec.priority }, { it.acceptedAtMillis }, { it.task.index }))) place(run, round)
    }

    private fun place(run: Run, round: Round) {
        if (run.task.job in round.unplaceableJobs) return returnToLeaderIfExpired(run, round)
        val selected = select(run, round.candidates)
        if (selected != null) return bind(run, selected)
        // Victims that write a checkpoint take a while to stop.
        if (run.awaitsPreemption) return
        if (actions.mayPreemptFor(run) && preemptFor(run, round.candidates)) return
        leaveUnplaced(run, round)
    }

    private fun bind(run: Run, candidate: Candidate) {
        candidate.free -= run.spec.request
        run.restartTarget = null
        actions.start(run, candidate.machine)
    }

    private fun leaveUnplaced(run: Run, round: Round) {
        if (round.jobsWithReservation.add(run.task.job)) reserveLargestMachine(run, round)
        // A run that avoids machines where it has failed says nothing about the other runs of its job.
        if (run.avoidedMachines.isEmpty()) round.unplaceableJobs += run.task.job
        returnToLeaderIfExpired(run, round)
    }

    /** Keeps the allowed machine with the most free CPUs from smaller tasks, which would take all capacity that is freed. */
    private fun reserveLargestMachine(run: Run, round: Round) {
        round.candidates
            .filter { isAllowed(run.spec, it.machine) }
            .maxByOrNull { it.free.cpus }
            ?.free = Resources.ZERO
    }

    private fun returnToLeaderIfExpired(run: Run, round: Round) {
        if (round.now >= run.stateSince + MAX_WAIT_FOR_CAPACITY) actions.returnToLeader(run)
    }

    private fun isAllowed(spec: JobSpec, machine: Machine) = spec.allows(machine.typeName, machine.zone, machine.spot)

    /** The machine to which the run is to be moved if it has one, else the cheapest, then the fullest, so that others become idle. */
    private fun select(run: Run, candidates: List<Candidate>): Candidate? = candidates
        .filter {
            run.spec.request.fitsIn(it.free) && isAllowed(run.spec, it.machine) && it.machine.name !in run.avoidedMachines &&
                !actions.mustAvoid(run, it.machine) && it.machine.reportedTasks.none { reported -> reported.task == run.task }
        }.minWithOrNull(
            compareBy<Candidate> { if (it.machine.name == run.restartTarget) 0 else 1 }
                .thenBy { cost(run.spec, it, preempts = false) }
                .thenBy { it.free.cpus },
        )

    private fun cost(spec: JobSpec, candidate: Candidate, preempts: Boolean): Double {
        val imageCached = candidate.machine.hasImage(spec.image) || candidate.machine.isFetching(spec.image)
        return PlacementCost.of(spec, candidate.type, candidate.machine.spot, imageCached, preempts)
    }

    /**
     * Preempts tasks of lower priority for [run], on the cheapest machine and there as few as possible. Returns whether any
     * were; the run can start once they have left the machine. Victims are chosen on the cheapest machines only, since that
     * means sorting a machine's runs.
     */
    private fun preemptFor(run: Run, candidates: List<Candidate>): Boolean {
        val plan = candidates
            .filter { it.fitsWithPreemption(run.spec) && isAllowed(run.spec, it.machine) && it.machine.name !in run.avoidedMachines }
            .map { ScoredCandidate(it, cost(run.spec, it, preempts = true)) }
            .sortedBy { it.cost }
            .take(MAX_PREEMPTION_PLANS)
            .mapNotNull { scored -> victims(run, scored.candidate)?.let { PreemptionPlan(scored.cost, it) } }
            .minWithOrNull(compareBy({ it.cost }, { it.victims.size })) ?: return false
        run.recordVictims(plan.victims)
        plan.victims.forEach(actions::preempt)
        return true
    }

    /**
     * The runs to preempt so that [run] fits: those that are stopping already, then the lowest priorities, then the latest
     * starts. Null where preemption can't make it fit.
     */
    private fun victims(run: Run, candidate: Candidate): List<Run>? {
        var free = candidate.free
        val victims = ArrayList<Run>()
        val preemptible = candidate.machine.runs
            .filter { it.isPreemptible && !it.isPreemptedForWaitingRun && it.spec.priority > run.spec.priority }
            .sortedWith(
                compareBy<Run> { if (it.state == RunState.STOPPING) 0 else 1 }
                    .thenByDescending { it.spec.priority }
                    .thenByDescending { it.runningSince?.millis ?: Long.MAX_VALUE },
            )
        for (victim in preemptible) {
            if (run.spec.request.fitsIn(free)) break
            free += victim.spec.request
            victims += victim
        }
        return victims.takeIf { it.isNotEmpty() && run.spec.request.fitsIn(free) }
    }

    private companion object {
        /** A run that finds no capacity here for this long may find some in another shard. */
        val MAX_WAIT_FOR_CAPACITY = 2.seconds
        const val MAX_PREEMPTION_PLANS = 16
    }
}
