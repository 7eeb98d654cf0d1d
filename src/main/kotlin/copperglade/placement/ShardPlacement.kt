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
 * Places a shard's waiting runs on its machines and stops preempted work for them.
 *
 * Invariant: nothing is placed unless [Membership.mayStart], which needs newer knowledge than keeping what runs. Guards
 * against starting tasks of a job that was cancelled meanwhile.
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
    private val placedOn = LinkedHashSet<Machine>()
    private val placer = Placer(
        types,
        state::requestOf,
        start = ::start,
        stop = { stopper.stop(it, StopReason.PREEMPTED) },
        giveBack = { lifecycle.finish(it, RunState.GONE, "no room") },
        mayPreempt = { !eligibility.isFailing(it) },
        separated = eligibility::mustAvoid,
    )

    /** Starts what waits and fits. Runs that find no room for too long are given back to the leader. */
    fun place(now: MonotonicTime) {
        if (!eligibility.mayStartAny) return
        giveBackAllButOneTrial()
        val waiting = state.runs.waiting.filter { eligibility.mayStart(it, now) }
        if (waiting.isEmpty()) return
        placer.place(waiting, state.machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        placedOn.forEach(commands::sendDue)
        placedOn.clear()
    }

    /** Of a failing job one task waits here to be tried; the others would only hold room and their team's limit. */
    private fun giveBackAllButOneTrial() {
        val failing = state.runs.waiting.filter(eligibility::isFailing)
        for ((job, runs) in failing.groupBy { it.task.job }) {
            val trialRuns = state.runs.ofJob(job).any { it.occupiesMachine }
            runs.drop(if (trialRuns) 0 else 1).forEach { lifecycle.finish(it, RunState.GONE, "its job fails everywhere") }
        }
    }

    private fun start(run: Run, machine: Machine) {
        run.bind(machine, state.nextAttempt())
        lifecycle.transition(run, RunState.STARTING, "placed")
        placedOn += machine
    }
}
