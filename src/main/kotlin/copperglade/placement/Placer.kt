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

/** The machines of a shard on which runs may be placed. Those [onTrial] get a run only as [PlacementActions.mayTry] permits. */
internal class PlacementTargets(val usable: List<Machine>, val onTrial: List<Machine>)

/** The decisions and actions of a shard's owner that a [Placer] calls. */
internal interface PlacementActions {
    /** Returns whether tasks of lower priority may be preempted for [run]. */
    fun mayPreemptFor(run: Run): Boolean

    /** Returns whether [run] must avoid [machine] because the run's job has just failed there. */
    fun mustAvoid(run: Run, machine: Machine): Boolean

    /** Returns whether [run] may be placed on [machine], which is on trial. */
    fun mayTry(run: Run, machine: Machine): Boolean

    fun start(run: Run, machine: Machine)

    fun preempt(victim: Run)

    /** Returns [run] to the leader, which may assign the task to another shard. */
    fun returnToLeader(run: Run)
}

/**
 * Places the waiting runs of a shard on its machines: filters and scores the machines for each run, binds the run to the best
 * machine, and preempts tasks of lower priority where no machine has the capacity.
 */
internal class Placer(
    private val types: MachineTypeCatalog,
    private val requestOf: (TaskId) -> Resources?,
    private val actions: PlacementActions,
) {
    /** A machine that is usable or on trial, and its free capacity less the runs that this round has placed there. */
    private class Candidate(val machine: Machine, val type: MachineType, val onTrial: Boolean, var free: Resources) {
        /** Built on demand: most machines are never considered for preemption. */
        private val preemptible by lazy(
            LazyThreadSafetyMode.NONE,
        ) { machine.runs.filter { !it.isPreemptedForWaitingRun }.preemptibleCapacity() }

        /** Returns whether a task of [spec] fits after preempting all tasks of lower priority. */
        fun fitsWithPreemption(spec: JobSpec): Boolean = !onTrial && preemptible.fitsWithPreemption(spec, free)
    }

    private class ScoredCandidate(val candidate: Candidate, val cost: Double)

    private class PreemptionPlan(val cost: Double, val victims: List<Run>)

    /** One pass over the waiting runs. Free capacity only shrinks during a round. */
    private class Round(val candidates: List<Candidate>, val now: MonotonicTime) {
        /** Jobs with a task that fits on no machine. No other task of such a job fits either. */
        val unplaceableJobs = HashSet<JobId>()

        /** Jobs for which a machine has been reserved. */
        val jobsWithReservation = HashSet<JobId>()
    }

    /**
     * Starts those of the [waiting] runs that fit on usable [targets], or else on targets on trial. For each of the others, preempts
     * tasks of lower priority, or returns the run to the leader once it has waited for [MAX_WAIT_FOR_CAPACITY].
     */
    fun place(waiting: List<Run>, targets: PlacementTargets, now: MonotonicTime) {
        val usable = targets.usable.mapNotNull { candidate(it, onTrial = false, now) }
        val candidates = usable + targets.onTrial.mapNotNull { candidate(it, onTrial = true, now) }
        val round = Round(candidates, now)
        for (run in waiting.sortedWith(compareBy({ it.spec.priority }, { it.acceptedAtMillis }, { it.task.index }))) place(run, round)
    }

    private fun candidate(machine: Machine, onTrial: Boolean, now: MonotonicTime): Candidate? =
        types[machine.typeName]?.let { Candidate(machine, it, onTrial, machine.freeCapacity(it, now, requestOf)) }

    private fun place(run: Run, round: Round) {
        if (run.task.job in round.unplaceableJobs) return returnToLeaderIfExpired(run, round)
        val selected = select(run, round.candidates)
        if (selected != null) return bind(run, selected)
        // The run waits for its victims to stop. Victims that write a checkpoint take a while.
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
        // Other runs of the job may fit on the machines that this run avoids because it has failed there.
        if (run.avoidedMachines.isEmpty()) round.unplaceableJobs += run.task.job
        returnToLeaderIfExpired(run, round)
    }

    /** Reserves the allowed usable machine with the most free CPUs. Without this, smaller tasks would take all capacity that is freed. */
    private fun reserveLargestMachine(run: Run, round: Round) {
        round.candidates
            .filter { !it.onTrial && isAllowed(run.spec, it.machine) }
            .maxByOrNull { it.free.cpus }
            ?.free = Resources.ZERO
    }

    private fun returnToLeaderIfExpired(run: Run, round: Round) {
        if (round.now >= run.stateSince + MAX_WAIT_FOR_CAPACITY) actions.returnToLeader(run)
    }

    private fun isAllowed(spec: JobSpec, machine: Machine) = spec.allows(machine.typeName, machine.zone, machine.spot)

    /**
     * Returns the restart target of [run] if the run has one that fits, else the cheapest machine, then the fullest, so that other
     * machines become idle; a machine on trial only if no other fits. Null where no machine fits.
     */
    private fun select(run: Run, candidates: List<Candidate>): Candidate? = candidates
        .filter {
            (!it.onTrial || actions.mayTry(run, it.machine)) && run.spec.request.fitsIn(it.free) && isAllowed(run.spec, it.machine) &&
                it.machine.name !in run.avoidedMachines &&
                !actions.mustAvoid(run, it.machine) && it.machine.reportedTasks.none { reported -> reported.task == run.task }
        }.minWithOrNull(
            compareBy<Candidate> { it.onTrial }
                .thenBy { if (it.machine.name == run.restartTarget) 0 else 1 }
                .thenBy { cost(run.spec, it, preempts = false) }
                .thenBy { it.free.cpus },
        )

    private fun cost(spec: JobSpec, candidate: Candidate, preempts: Boolean): Double {
        val imageCached = candidate.machine.hasImage(spec.image) || candidate.machine.isFetching(spec.image)
        return PlacementCost.of(spec, candidate.type, candidate.machine.spot, imageCached, preempts)
    }

    /**
     * Preempts as few tasks of lower priority as possible for [run], on the cheapest machine. Returns whether any were preempted;
     * the run can start once these tasks have left the machine. Victims are chosen on the [MAX_PREEMPTION_PLANS] cheapest machines
     * only, since choosing them requires sorting a machine's runs.
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
     * Returns the runs to preempt so that [run] fits: runs that are stopping already, then the lowest priorities, then the latest
     * starts. Null where preemption can't make [run] fit.
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
        /** A run that finds no capacity in this shard for this long may find some in another shard. */
        val MAX_WAIT_FOR_CAPACITY = 2.seconds
        const val MAX_PREEMPTION_PLANS = 16
    }
}
