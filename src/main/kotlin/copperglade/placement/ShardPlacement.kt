package copperglade.placement

import copperglade.agents.MachineHealth
import copperglade.agents.RunStopper
import copperglade.agents.WorkerCommands
import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.Membership
import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason

/**
 * Decides which of a shard's waiting runs may be placed now, and has a [Placer] place them.
 *
 * Invariant: no run is placed unless [Membership.mayStartTasks], which requires newer records than keeping running tasks does. This
 * guards against starting tasks of a job that was cancelled in the meantime.
 */
class ShardPlacement(
    private val state: ShardState,
    private val health: MachineHealth,
    private val lifecycle: RunLifecycle,
    private val stopper: RunStopper,
    private val commands: WorkerCommands,
    private val eligibility: StartEligibility,
    types: MachineTypeCatalog,
) {
    private val machinesWithPendingStarts = LinkedHashSet<Machine>()
    private val placer = Placer(types, state::requestOf, Actions())

    /** Starts the waiting runs that fit. Runs that have found no capacity for too long are returned to the leader. */
    fun place(now: MonotonicTime) {
        if (!eligibility.mayStartAny) return
        returnAllButOneRetry()
        val waiting = state.runs.waiting.filter { eligibility.mayStart(it, now) }
        if (waiting.isEmpty()) return
        val machines = state.machines.values
        val targets = PlacementTargets(machines.filter { health.isUsable(it, now) }, machines.filter { health.isOnTrial(it, now) })
        placer.place(waiting, targets, now)
        // Each machine gets all of its starts in one message.
        machinesWithPendingStarts.forEach(commands::sendDue)
        machinesWithPendingStarts.clear()
    }

    /**
     * Keeps at most one run of each failing job in this shard: the current retry, or the next one. Returns the job's other waiting
     * runs to the leader, since these would only use up capacity and their team's quota.
     */
    private fun returnAllButOneRetry() {
        val failing = state.runs.waiting.filter(eligibility::isFailing)
        for ((job, runs) in failing.groupBy { it.task.job }) {
            val retryIsRunning = state.runs.ofJob(job).any { it.occupiesMachine }
            runs.drop(if (retryIsRunning) 0 else 1).forEach { lifecycle.finish(it, RunState.GONE, "job_failing") }
        }
    }

    private inner class Actions : PlacementActions {
        override fun mayPreemptFor(run: Run): Boolean = !eligibility.isFailing(run)

        override fun mustAvoid(run: Run, machine: Machine): Boolean = eligibility.mustAvoid(run, machine)

        /** A run that was assigned before the failures may have been meant for another machine: the leader decides again. */
        override fun mayTry(run: Run, machine: Machine): Boolean = machine.runs.none { it.task.job == run.task.job } &&
            (!health.isHeldAgainst(machine) || run.stateSince > health.lastFailureOn(machine))

        override fun start(run: Run, machine: Machine) {
            run.bind(machine, state.nextAttempt())
            lifecycle.transition(run, RunState.STARTING, "placed")
            machinesWithPendingStarts += machine
        }

        override fun preempt(victim: Run) = stopper.stop(victim, StopReason.PREEMPTED)

        override fun returnToLeader(run: Run) = lifecycle.finish(run, RunState.GONE, "no_capacity")
    }
}
