package copperglade.coordination

import copperglade.protocol.Moment

/**
 * Places a block's waiting runs on its machines and stops preempted work for them.
 *
 * Invariant: nothing is placed unless [Membership.mayStart], which needs newer knowledge than keeping what runs. Guards
 * against starting tasks of a job that was cancelled meanwhile.
 */
class BlockPlacement(
    private val state: BlockState,
    private val health: MachineHealth,
    private val lifecycle: RunLifecycle,
    private val stopper: RunStopper,
    private val commands: WorkerCommands,
) {
    private val placedOn = LinkedHashSet<Machine>()
    private val placer = Placer(
        state.context.types,
        state::requestOf,
        start = ::start,
        stop = { stopper.stop(it, StopReason.PREEMPTED) },
        giveBack = { lifecycle.finish(it, RunState.GONE, "no room") },
    )

    /** Starts what waits and fits. Runs that find no room for too long are given back to the leader. */
    fun place(now: Moment) {
        if (!state.context.membership.mayStart) return
        val waiting = state.runs.waiting.filter { now >= it.notBefore }
        if (waiting.isEmpty()) return
        placer.place(waiting, state.machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        placedOn.forEach(commands::settle)
        placedOn.clear()
    }

    private fun start(run: Run, machine: Machine) {
        run.bind(machine, state.nextAttempt())
        run.moveTo(RunState.STARTING, "placed", state.context.loop.now())
        placedOn += machine
    }
}
