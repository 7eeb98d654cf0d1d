package copperglade.agents

import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import org.slf4j.LoggerFactory

/**
 * Tracks the machines of a shard: from a worker's first heartbeat until its lease has expired or the machine is deleted.
 *
 * Invariants: only the newest heartbeat of a machine counts, by agent epoch and sequence number, unless the worker has proved by a
 * reply that it has restarted and reset these numbers; a removed machine is added again only after its reply to a probe. Both guard
 * against late copies of heartbeats, which may arrive minutes after they were sent and would report outdated tasks and free capacity.
 */
class MachineTracker(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val reportReconciler: TaskReportReconciler,
    private val client: WorkerClient,
    private val history: MachineHistory,
    private val timeouts: HeartbeatTimeouts,
    private val clock: Clock,
) : CommandReplyListener {
    private val machines = state.machines
    private val removedMachines = RemovedMachines(clock)

    /** Removed machines with a probe in flight. */
    private val probesInFlight = HashSet<MachineName>()

    /** Accepts [heartbeat], sent by the worker on its own or in a reply, if it is newer than all accepted ones. Returns its machine. */
    fun receive(heartbeat: Heartbeat): Machine {
        val machine = machines.getOrPut(heartbeat.machine) { discover(heartbeat) }
        val epochBefore = machine.epoch
        if (machine.update(heartbeat, clock.now())) {
            if (machine.epoch > epochBefore) releaseLostRuns(machine, "agent epoch ${machine.epoch} began")
            if (state.isOpen && state.isFenced(machine)) reportReconciler.reconcile(machine)
        }
        return machine
    }

    /**
     * Accepts [heartbeat], [machine]'s reply to a command that was sent at [sentAt]. If the command was sent after the newest heartbeat
     * had been accepted, and the reply has no higher numbers, the worker has restarted and reset them.
     */
    override fun onReply(machine: Machine, heartbeat: Heartbeat, sentAt: MonotonicTime) {
        if (sentAt > machine.lastUpdateAt && !machine.sequence.isNewerThanAccepted(heartbeat)) handleWorkerRestart(machine, heartbeat)
        receive(heartbeat)
    }

    /** Whether [heartbeat] is from a removed machine, sent before the removal or by a restarted worker that has reset its epoch. */
    fun isFromRemovedMachine(heartbeat: Heartbeat): Boolean = removedMachines.predatesRemoval(heartbeat)

    /** Probes whether the worker of the removed machine that [heartbeat] names is alive; the heartbeat may be a late copy. */
    fun probeRemovedMachine(heartbeat: Heartbeat) {
        if (!state.isOpen || removedMachines.isDeleted(heartbeat.machine) || !probesInFlight.add(heartbeat.machine)) return
        client.probe(heartbeat.endpoint, state.fencingToken, heartbeat.epoch) { reply -> onProbeReply(heartbeat.machine, reply) }
    }

    private fun onProbeReply(name: MachineName, reply: CommandReply) {
        val heartbeat = when (reply) {
            is CommandReply.Answered -> reply.readHeartbeat()
            CommandReply.TimedOut -> null
        }
        probesInFlight -= name
        if (heartbeat == null || heartbeat.machine != name || !removedMachines.isRemoved(name)) return
        log.info("machine_returned machine={} epoch={}", name, heartbeat.epoch)
        val removedEpoch = removedMachines.removalEpochOf(name)
        receive(heartbeat).sequence.markUnverified(removedEpoch)
        removedMachines.remove(name)
    }

    /**
     * Removes machines whose leases have certainly expired: their workers have terminated all tasks.
     *
     * A worker may have restarted unnoticed since its last acknowledged heartbeat, with a lease of its own. Such a worker can only have
     * tasks that a former owner started. Their runs stay bound until the lease of any incarnation that may have started them has expired.
     */
    fun removeExpired(now: MonotonicTime) {
        for (machine in machines.values.toList()) {
            if (now < machine.leaseRenewedAt + timeouts.maxLease) continue
            val (outlasting, lost) = machine.runs.partition { mayRunInLaterIncarnation(it, now) }
            if (lost.isNotEmpty() || outlasting.isEmpty()) {
                log.info("machine_lease_expired machine={} tasks_lost={} tasks_outlasting={}", machine.name, lost.size, outlasting.size)
            }
            if (outlasting.isEmpty()) remove(machine) else releaseLost(machine, lost)
        }
    }

    private fun mayRunInLaterIncarnation(run: Run, now: MonotonicTime): Boolean = now < run.foundAt + timeouts.maxLease

    private fun releaseLost(machine: Machine, lost: List<Run>) {
        // A heartbeat of this agent epoch is a late one, or from a worker that has restarted.
        machine.sequence.markUnverified(machine.epoch)
        lost.forEach { lifecycle.release(it, "lease of ${machine.name} expired") }
    }

    /** Removes a machine that the cloud has deleted. */
    fun onDeleted(machine: Machine) {
        remove(machine)
        removedMachines.recordDeleted(machine.name)
    }

    private fun discover(heartbeat: Heartbeat): Machine {
        val startedUnderCurrentOwner = removedMachines.isRemoved(heartbeat.machine)
        val discovered = Machine(
            heartbeat.machine,
            heartbeat.zone,
            heartbeat.spot,
            heartbeat.type,
            heartbeat.endpoint,
            clock.now(),
            startedUnderCurrentOwner,
        )
        discovered.imageCache.addRecorded(state.recordedImages(discovered.name))
        return discovered
    }

    /** Handles a worker's restart, detected by its reply to a command: none of the former incarnation's tasks is there any more. */
    private fun handleWorkerRestart(machine: Machine, heartbeat: Heartbeat) {
        log.info("worker_restarted machine={} tasks_lost={}", machine.name, machine.runs.size)
        machine.onWorkerRestarted(heartbeat, clock.now())
        releaseLostRuns(machine, "worker of ${machine.name} restarted")
        if (state.isFenced(machine)) reportReconciler.reconcile(machine)
    }

    /**
     * Releases the runs that the worker, which has begun anew, does not report. Before the restart was noticed the new incarnation may
     * have been sent starts: their runs stay bound if the worker reports them, or while the start may still take effect.
     */
    private fun releaseLostRuns(machine: Machine, reason: String) {
        for (run in machine.runs.toList()) {
            when {
                machine.reportedTask(run.task, run.attempt) != null -> Unit
                machine.channel.startMayTakeEffect(run.task, run.attempt, clock.now()) -> lifecycle.restartAttempt(run)
                else -> lifecycle.release(run, reason)
            }
        }
    }

    private fun remove(machine: Machine) {
        machines.remove(machine.name)
        history.remove(machine.name)
        removedMachines.recordExpired(machine.name, machine.epoch)
        releaseAll(machine, "${machine.name} removed")
    }

    private fun releaseAll(machine: Machine, reason: String) = machine.runs.toList().forEach { lifecycle.release(it, reason) }

    private companion object {
        val log = LoggerFactory.getLogger("agents")
    }
}
