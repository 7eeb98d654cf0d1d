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
 * Decides which of a shard's waiting runs may be placed now, and has a [Placer] place them.
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
    private val machinesWithStarts = LinkedHashSet<Machine>()
    private val placer = Placer(state.context.types, state::requestOf, Actions())

    /** Starts waiting runs that fit. Runs that have found no capacity for too long are given back to the leader. */
    fun place(now: MonotonicTime) {
        if (!state.context.membership.mayStart) return
        giveBackAllButOneTrial()
        val waiting = state.runs.waiting.filter { mayStart(it, now) }
        if (waiting.isEmpty()) return
        placer.place(waiting, state.machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        machinesWithStarts.forEach(commands::sendDue)
        machinesWithStarts.clear()
    }

    private fun mayStart(run: Run, now: MonotonicTime): Boolean {
        val job = run.task.job
        if (now < run.earliestStartAt || isRefused(run)) return false
        return job !in failingJobs || (backoff.mayRetry(job, now) && state.runs.of(job).none { it.occupiesMachine })
    }

    /** Guards against a leader that assigned the task with older knowledge, or that runs a version without dependencies. */
    private fun isRefused(run: Run): Boolean {
        val refusal = state.context.guard.refusalByRecords(run.task)
        if (refusal != null && refusal != run.lastRefusal) state.context.audit.recordRefusal(run.task, refusal)
        run.lastRefusal = refusal
        return refusal != null
    }

    /** One task of a failing job waits here for its trial; the others would only use up capacity and their team's quota. */
    private fun giveBackAllButOneTrial() {
        val failing = state.runs.waiting.filter { it.task.job in failingJobs }
        for ((job, runs) in failing.groupBy { it.task.job }) {
            val trialRuns = state.runs.of(job).any { it.occupiesMachine }
            runs.drop(if (trialRuns) 0 else 1).forEach { lifecycle.finish(it, RunState.GONE, "job_failing") }
        }
    }

    private inner class Actions : PlacementActions {
        override fun mayPreemptFor(run: Run): Boolean = run.task.job !in failingJobs

        /** A job that has completed tasks is kept from no machine; its failing tasks avoid machines one by one ([Run.avoidedMachines]). */
        override fun isSeparated(run: Run, machine: Machine): Boolean {
            val neverCompleted = state.context.replica.jobs[run.task.job]
                ?.done
                ?.isEmpty ?: false
            return neverCompleted && state.context.failureEvidence.shouldAvoid(run.task.job, machine.name, state.context.loop.now())
        }

        override fun start(run: Run, machine: Machine) {
            run.bind(machine, state.nextAttempt())
            run.transitionTo(RunState.STARTING, "placed", state.context.loop.now())
            machinesWithStarts += machine
        }

        override fun preempt(victim: Run) = stopper.stop(victim, StopReason.PREEMPTED)

        override fun giveBack(run: Run) = lifecycle.finish(run, RunState.GONE, "no_capacity")
    }
}
