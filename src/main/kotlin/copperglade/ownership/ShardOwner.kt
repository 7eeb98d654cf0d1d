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
import copperglade.tasks.OutcomeLog
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * The owner of one shard: picks machines for the shard's tasks, starts and stops them, and finds out what becomes of them. It
 * commands workers only while [Membership.mayAct], and only under fencing tokens of its own.
 *
 * The work is done by its parts, which this class calls in a fixed order: [ShardAgents] and [ShardScheduling].
 */
class ShardOwner internal constructor(
    private val state: ShardState,
    private val agents: ShardAgents,
    private val scheduling: ShardScheduling,
    private val outcomes: OutcomeLog,
    private val replica: Replica,
    private val membership: Membership,
    private val metrics: EventLoopMetrics,
    private val clock: Clock,
) {
    private var nextSweepAt = MonotonicTime.NEVER

    val name: ShardName get() = state.name

    /** The shard's machines, as far as their workers have been heard from. */
    val machines: Map<MachineName, Machine> get() = state.machines

    /** The fencing token under which workers are commanded now. */
    val fencingToken: FencingToken get() = state.fencingToken

    /** Whether the records are known to be as new as the grant, and the shard has not been closed: only then are workers commanded. */
    val isOpen: Boolean get() = state.isOpen

    /** Whether [token] is one of the fencing tokens that this owner has had. */
    fun hasHeldToken(token: FencingToken): Boolean = state.isOwnToken(token)

    /** Starts commanding workers. The records must be known to be as new as the grant. */
    fun open() {
        state.isOpen = true
        replica.jobs.values.forEach(::reconcile)
        machines.values.toList().forEach { if (state.isFenced(it)) agents.observer.reconcile(it) }
    }

    /** Stops commanding workers: the shard no longer belongs to this process. */
    fun close() {
        state.isOpen = false
    }

    /** Goes on under the higher [token]: workers that have seen it refuse late copies of older commands. */
    fun raiseToken(token: FencingToken) = state.raiseToken(token)

    /** Brings the runs of [job] in line with its records. */
    fun reconcile(job: Job) = agents.reconciler.reconcile(job)

    /** Removes the runs of [job], which is no longer known. */
    fun removeJob(job: JobId) = agents.reconciler.removeJob(job)

    /** Handles a worker's own heartbeat. The caller has checked that this controller may act. */
    fun handleHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome = agents.heartbeats.handle(heartbeat)

    /** Handles a heartbeat while this controller may no longer act but knows of no other that would. */
    fun extendWorkerLease(heartbeat: Heartbeat): HeartbeatOutcome = agents.heartbeats.extendWorkerLease(heartbeat)

    /**
     * Does what is due, always in this order: records outcomes, places waiting runs, removes machines whose leases have expired,
     * releases missing runs, sends due commands, and restarts stragglers. No effect unless the shard is open.
     */
    fun tick() {
        if (!isOpen) return
        metrics.measure("shard_outcomes") { outcomes.flush() }
        val now = clock.now()
        metrics.measure("shard_placement") { scheduling.placement.place(now) }
        if (now < nextSweepAt) return
        nextSweepAt = now + SWEEP_INTERVAL
        metrics.measure("shard_sweep") { sweep(now) }
        if (membership.mayAct) metrics.measure("shard_stragglers") { scheduling.stragglers.restartWorthwhile(now) }
    }

    /** Finds what only the passing of time has changed; what a heartbeat or a record changes is acted on at once. */
    private fun sweep(now: MonotonicTime) {
        agents.unresolvedStarts.forgetExpired(now)
        agents.tracker.removeExpired(now)
        agents.missingRuns.releaseDue(now)
        if (membership.mayAct) machines.values.toList().forEach(agents.commands::sendDue)
    }

    /** Removes [machine], which the cloud has deleted. */
    fun onDeleted(machine: Machine) = agents.tracker.onDeleted(machine)

    /** Whether an unresolved start blocks something that only a higher fencing token can unblock. */
    fun needsHigherToken(): Boolean = agents.unresolvedStarts.needHigherToken()

    /** The images of the shard's machines, as many as fit into a value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord = scheduling.summary.imageRecord(limitBytes)

    /** How many of the shard's machines are unreachable. */
    fun unreachableMachines(now: MonotonicTime): Int = agents.health.countUnreachable(now)

    /** The capacity of the shard's machines, for the leader. */
    fun capacity(): ShardCapacity = scheduling.summary.capacity()

    private companion object {
        val SWEEP_INTERVAL = 400.milliseconds
    }
}
