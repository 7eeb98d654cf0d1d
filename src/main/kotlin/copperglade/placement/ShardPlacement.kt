package copperglade.placement

import copperglade.agents.MachineHealth
import copperglade.agents.RunStopper
import copperglade.agents.WorkerCommands
import copperglade.membership.Membership
import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.RetryBackoff
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
    private val backoff: RetryBackoff,
) {
    private val failingJobs = state.context.failingJobs
    private val placedOn = LinkedHashSet<Machine>()
    private val placer = Placer(
        state.context.types,
        state::requestOf,
        start = ::start,
        stop = { stopper.stop(it, StopReason.PREEMPTED) },
        giveBack = { lifecycle.finish(it, RunState.GONE, "no room") },
        mayPreempt = { it.task.job !in failingJobs },
        separated = ::isSeparated,
    )

    /** Starts what waits and fits. Runs that find no room for too long are given back to the leader. */
    fun place(now: MonotonicTime) {
        if (!state.context.membership.mayStart) return
        giveBackAllButOneTrial()
        val waiting = state.runs.waiting.filter { mayStart(it, now) }
        if (waiting.isEmpty()) return
        placer.place(waiting, state.machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        placedOn.forEach(commands::sendDue)
        placedOn.clear()
    }

    private fun mayStart(run: Run, now: MonotonicTime): Boolean {
        val job = run.task.job
        if (now < run.earliestStartAt || isRefused(run)) return false
        return job !in failingJobs || (backoff.mayRetry(job, now) && state.runs.of(job).none { it.occupiesMachine })
    }

    /** The leader that assigned it may have known less than we do, or may be of a version that knows no dependencies. */
    private fun isRefused(run: Run): Boolean {
        val refusal = state.context.guard.refusalByRecords(run.task)
        if (refusal != null && refusal != run.lastRefusal) state.context.audit.recordRefusal(run.task, refusal)
        run.lastRefusal = refusal
        return refusal != null
    }

    /** Of a failing job one task waits here to be tried; the others would only hold room and their team's limit. */
    private fun giveBackAllButOneTrial() {
        val failing = state.runs.waiting.filter { it.task.job in failingJobs }
        for ((job, runs) in failing.groupBy { it.task.job }) {
            val trialRuns = state.runs.of(job).any { it.occupiesMachine }
            runs.drop(if (trialRuns) 0 else 1).forEach { lifecycle.finish(it, RunState.GONE, "its job fails everywhere") }
        }
    }

    /** A job that has completed tasks is kept from no machine: each of its failing tasks looks for another by itself. */
    private fun isSeparated(run: Run, machine: Machine): Boolean {
        val neverCompleted = state.context.replica.jobs[run.task.job]
            ?.done
            ?.isEmpty ?: false
        return neverCompleted && state.context.failureEvidence.shouldAvoid(run.task.job, machine.name, state.context.loop.now())
    }

    private fun start(run: Run, machine: Machine) {
        run.bind(machine, state.nextAttempt())
        run.transitionTo(RunState.STARTING, "placed", state.context.loop.now())
        placedOn += machine
    }
}
