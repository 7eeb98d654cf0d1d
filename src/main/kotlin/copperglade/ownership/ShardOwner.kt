package copperglade.ownership

import copperglade.agents.HeartbeatOutcome
import copperglade.agents.ShardAgents
import copperglade.membership.Membership
import copperglade.observability.EventLoopMetrics
import copperglade.placement.ShardScheduling
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName
import copperglade.storage.ImageRecord
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.tasks.Machine
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * The owner of one shard: places the shard's tasks on machines, starts and stops tasks, and records their outcomes. The shard owner
 * sends commands to workers only while [Membership.mayAct], and only under its own fencing token.
 *
 * This class delegates to [ShardAgents] and [ShardScheduling], which it calls in a fixed order.
 */
class ShardOwner internal constructor(
    private val state: ShardState,
    private val agents: ShardAgents,
    private val scheduling: ShardScheduling,
    private val outcomes: OutcomeWriter,
    private val replica: Replica,
    private val membership: Membership,
    private val metrics: EventLoopMetrics,
    private val clock: Clock,
) {
    private var nextSweepAt = MonotonicTime.NEVER

    val name: ShardName get() = state.name

    /** The shard's machines whose workers have sent heartbeats to this owner. */
    val machines: Map<MachineName, Machine> get() = state.machines

    /** The fencing token under which commands are sent to workers now. */
    val fencingToken: FencingToken get() = state.fencingToken

    /** Whether [open] was called, which requires records as new as the grant, and [close] was not: only then are commands sent. */
    val isOpen: Boolean get() = state.isOpen

    /** Starts sending commands to workers. Requires that the replica is at least as new as the grant of the shard. */
    fun open() {
        state.isOpen = true
        replica.jobs.values.forEach(::reconcile)
        machines.values.toList().forEach { if (state.isFenced(it)) agents.reportReconciler.reconcile(it) }
    }

    /** Stops sending commands to workers: this process no longer owns the shard. */
    fun close() {
        state.isOpen = false
    }

    /** Updates the runs of [job] to match its records. */
    fun reconcile(job: Job) = agents.reconciler.reconcile(job)

    /** Removes the runs of [job], which the replica no longer contains. */
    fun removeJob(job: JobId) = agents.reconciler.removeJob(job)

    /** Handles a heartbeat that a worker has sent. The caller has checked that this controller may act. */
    fun handleHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome = agents.heartbeatHandler.handle(heartbeat)

    /** Handles a heartbeat while this controller may no longer act, and no peer reports reaching the state service. */
    fun extendWorkerLease(heartbeat: Heartbeat): HeartbeatOutcome = agents.heartbeatHandler.extendWorkerLease(heartbeat)

    /**
     * Performs the work that is due, always in this order: records outcomes, places waiting runs, removes machines whose leases have
     * expired, releases missing runs, sends due commands, and restarts stragglers. No effect unless the shard is open.
     */
    fun tick() {
        if (!isOpen) return
        metrics.measure("shard_outcomes") { outcomes.flush() }
        val now = clock.now()
        metrics.measure("shard_placement") { scheduling.placement.place(now) }
        if (now < nextSweepAt) return
        nextSweepAt = now + SWEEP_INTERVAL
        metrics.measure("shard_sweep") { sweep(now) }
        if (membership.mayAct) metrics.measure("shard_stragglers") { scheduling.stragglers.restartStragglers(now) }
    }

    /** Handles timeouts and due retries; changes by a heartbeat or a record are handled when they arrive. */
    private fun sweep(now: MonotonicTime) {
        agents.tracker.removeExpired(now)
        agents.missingRunRelease.releaseDue(now)
        agents.trials.observe(now)
        if (membership.mayAct) machines.values.toList().forEach(agents.commands::sendDue)
    }

    /** Removes [machine], which the cloud has deleted. */
    fun onDeleted(machine: Machine) = agents.tracker.onDeleted(machine)

    /** The images cached on the shard's machines, as many as fit into a stored value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord = scheduling.summary.imageRecord(limitBytes)

    /** The number of the shard's machines that are unreachable at [now]. */
    fun unreachableMachineCount(now: MonotonicTime): Int = agents.health.countUnreachable(now)

    /** The capacity of the shard's machines, which is reported to the leader. */
    fun capacity(): ShardCapacity = scheduling.summary.capacity()

    private companion object {
        val SWEEP_INTERVAL = 400.milliseconds
    }
}
