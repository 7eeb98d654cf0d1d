package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardState
import org.slf4j.LoggerFactory

/**
 * Follows which machines a shard has: from a worker's first report until its lease has run out or the machine is deleted.
 *
 * Invariants: of a machine only the newest report counts, by session and sequence number, unless it has proved that it counts from
 * the start again; a dropped machine comes back only by its answer to a question of ours. They guard against late copies
 * of reports, which may arrive minutes after they were sent and would show tasks and room that are gone.
 */
class MachineTracker(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val commands: WorkerCommands,
    private val observer: TaskObserver,
    private val unresolved: UnresolvedStarts,
) {
    private val context = state.context
    private val loop = context.loop
    private val machines = state.machines
    private val removedMachines = RemovedMachines(loop)

    /** Dropped machines that have just been asked whether they live. */
    private val probed = HashSet<MachineName>()

    /** Takes in a report if it is new; the machine that it is of. */
    fun receive(heartbeat: Heartbeat): Machine {
        val machine = machines.getOrPut(heartbeat.machine) { discover(heartbeat) }
        val epochBefore = machine.epoch
        if (machine.update(heartbeat, loop.now())) {
            if (machine.epoch > epochBefore) releaseAll(machine, "session ${machine.epoch} began")
            if (state.open && state.isFenced(machine)) observer.match(machine)
        }
        return machine
    }

    /**
     * Takes in [heartbeat], the machine's answer to a command that was sent at [sentAt]. A machine that was asked after its
     * last numbers were taken in, yet answers with none higher, counts from the start again.
     */
    fun receiveReply(machine: Machine, heartbeat: Heartbeat, sentAt: MonotonicTime) {
        if (sentAt > machine.lastUpdateAt && !heartbeat.isNewerThan(machine.epoch, machine.sequenceNumber)) restarted(machine, heartbeat)
        receive(heartbeat)
    }

    /** Whether [heartbeat] is of a machine that was dropped, and from before that or from a count begun anew. */
    fun isFromRemovedMachine(heartbeat: Heartbeat): Boolean = removedMachines.covers(heartbeat)

    /** Asks a machine that was dropped whether it lives; late copies of its reports get no answer. */
    fun probeRemovedMachine(heartbeat: Heartbeat) {
        if (!state.open || removedMachines.isPermanent(heartbeat.machine) || !probed.add(heartbeat.machine)) return
        commands.probe(heartbeat.endpoint, heartbeat.epoch) { answer ->
            probed -= heartbeat.machine
            if (answer != null && answer.machine == heartbeat.machine && removedMachines.knows(answer.machine)) {
                log.info("{} is back in session {}", answer.machine, answer.epoch)
                val removedEpoch = removedMachines.epochOf(answer.machine)
                receive(answer).markUnverifiedUpTo(removedEpoch, Long.MAX_VALUE)
                removedMachines.forget(answer.machine)
            }
        }
    }

    /** Drops machines that were last answered more than a lease ago: they have killed their tasks. */
    fun dropExpired(now: MonotonicTime) {
        for (machine in machines.values.toList()) {
            unresolved.forgetExpired(machine, now)
            if (now < machine.leaseRenewedAt + context.maxLease) continue
            log.info("{} silent for longer than its lease, {} tasks lost", machine.name, machine.runs.size)
            drop(machine)
        }
    }

    /** Drops a machine that the cloud has deleted. Machine names are never given again. */
    fun deleted(machine: Machine) {
        drop(machine)
        removedMachines.deleted(machine.name)
    }

    private fun discover(heartbeat: Heartbeat): Machine {
        val epochIsOurs = removedMachines.knows(heartbeat.machine)
        val discovered =
            Machine(heartbeat.machine, heartbeat.zone, heartbeat.spot, heartbeat.type, heartbeat.endpoint, loop.now(), epochIsOurs)
        context.replica.images[state.name]
            ?.value
            ?.byMachine
            ?.get(discovered.name)
            ?.let(discovered::rememberImages)
        return discovered
    }

    /**
     * The machine's answer to a question of ours counts from the start again, so nothing that was on the machine is there
     * any more. A start of unknown outcome may yet arrive and act, since the new session may have the number of the old: it
     * stays bound.
     */
    private fun restarted(machine: Machine, heartbeat: Heartbeat) {
        log.info("{} began anew, {} tasks lost", machine.name, machine.runs.size)
        machine.restart(heartbeat, loop.now())
        for (run in machine.runs.toList()) {
            val unresolvedStart = machine.hasUnresolvedStart(run.task, run.attempt)
            if (unresolvedStart) run.restartAttempt(loop.now()) else lifecycle.lost(run, "${machine.name} began anew")
        }
        if (state.isFenced(machine)) observer.match(machine)
    }

    private fun drop(machine: Machine) {
        machines.remove(machine.name)
        context.profiles.forgetMachine(machine.name)
        context.failureEvidence.forgetMachine(machine.name)
        removedMachines.expired(machine.name, machine.epoch)
        releaseAll(machine, "${machine.name} is gone")
    }

    private fun releaseAll(machine: Machine, why: String) = machine.runs.toList().forEach { lifecycle.lost(it, why) }

    private companion object {
        val log = LoggerFactory.getLogger("owner")
    }
}
