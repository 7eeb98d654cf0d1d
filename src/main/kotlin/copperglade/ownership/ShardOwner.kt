package copperglade.ownership

import copperglade.agents.CommandPlanner
import copperglade.agents.HeartbeatHandler
import copperglade.agents.MachineHealth
import copperglade.agents.MachineTracker
import copperglade.agents.RunReconciler
import copperglade.agents.RunStopper
import copperglade.agents.TaskObserver
import copperglade.agents.UnresolvedStarts
import copperglade.agents.WorkerCommands
import copperglade.membership.Membership
import copperglade.placement.ShardPlacement
import copperglade.placement.ShardSummary
import copperglade.placement.StragglerRestarts
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName
import copperglade.storage.ImageRecord
import copperglade.storage.Job
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.tasks.FailingJobs
import copperglade.tasks.Machine
import copperglade.tasks.OutcomeLog
import copperglade.tasks.RetryBackoff
import copperglade.tasks.Run
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardContext
import copperglade.tasks.ShardState
import kotlin.time.Duration.Companion.milliseconds

/**
 * The owner of one shard: picks machines for the shard's tasks, starts and stops them, and finds out what became of
 * them. It commands workers only while [Membership.mayAct], and only under fencing tokens of its own.
 *
 * The work is done by its parts, which this class wires and calls in a fixed order:
 * - [RunReconciler] keeps the runs in line with the records;
 * - [HeartbeatHandler] decides which reports are believed and answers them, [MachineTracker] follows the machines and
 *   [TaskObserver] the tasks on them;
 * - [WorkerCommands] sends what [CommandPlanner] finds due, and [UnresolvedStarts] keeps account of unknown outcomes;
 * - [ShardPlacement] starts what waits, [StragglerRestarts] restarts stragglers, [RunStopper] and [RunLifecycle] end runs;
 * - [ShardSummary] describes the machines to others, by the judgement of [MachineHealth].
 */
class ShardOwner(
    private val context: ShardContext,
    store: StateClient,
    val name: ShardName,
    first: FencingToken,
) {
    private val state = ShardState(context, name, first)
    private val outcomes = OutcomeLog(context.loop, store, context.replica, state)
    private val health = MachineHealth(state)
    private val summary = ShardSummary(state, health)
    private val lifecycle = RunLifecycle(state, outcomes)
    private val unresolved = UnresolvedStarts(state)
    private val commands = WorkerCommands(state, CommandPlanner(state), unresolved, lifecycle, ::receiveReply)
    private val stopper = RunStopper(state, lifecycle, commands)
    private val backoff = RetryBackoff()
    private val reconciler = RunReconciler(state, stopper, backoff)
    private val observer = TaskObserver(state, lifecycle, stopper, commands, outcomes, backoff)
    private val tracker = MachineTracker(state, lifecycle, commands, observer, unresolved)
    private val heartbeatHandler = HeartbeatHandler(state, tracker, commands)
    private val placement = ShardPlacement(state, health, lifecycle, stopper, commands, backoff)
    private val stragglers = StragglerRestarts(state, outcomes, stopper)
    private var nextSweep = MonotonicTime.NEVER

    /** The shard's machines, as far as their workers have been heard. */
    val machines: Map<MachineName, Machine> get() = state.machines

    /** The fencing token under which workers are commanded now. */
    val fencingToken: FencingToken get() = state.fencingToken

    /** Nothing is commanded until the records are known to be as new as the grant. */
    val open: Boolean get() = state.open

    /** Whether [revision] is one of the fencing tokens that this owner has had. */
    fun holds(revision: FencingToken): Boolean = state.isOwnToken(revision)

    /** The records are known to be as new as the grant: from now on workers are commanded. */
    fun open() {
        state.open = true
        context.replica.jobs.values
            .forEach(::sync)
        machines.values.toList().forEach { if (state.isFenced(it)) observer.match(it) }
    }

    /** The shard is no longer ours: nothing more is said about it. */
    fun close() {
        state.open = false
    }

    /** The shard's key was written anew by ourselves: workers that see the new token refuse late copies of older commands. */
    fun renew(next: FencingToken) = state.raiseToken(next)

    /** Brings the runs of a job in line with its records. */
    fun sync(job: Job) = reconciler.sync(job)

    /** The job is over, or nothing is known of it any more. */
    fun drop(job: JobId) = reconciler.drop(job)

    /**
     * Takes a worker's own report and answers it; null where it must not be answered with 200. The caller has checked
     * that we may act.
     */
    fun handleHeartbeat(heartbeat: Heartbeat): ByteArray? = heartbeatHandler.handleHeartbeat(heartbeat)

    /**
     * Answers a worker while we may act no more but know of nobody else who would; null where it must not be answered
     * with 200.
     */
    fun extendWorkerLease(heartbeat: Heartbeat): ByteArray? = heartbeatHandler.extendWorkerLease(heartbeat)

    /** Commands need the tracker for what they bring back, and the tracker needs commands: this ties the two together. */
    private fun receiveReply(machine: Machine, heartbeat: Heartbeat, sentAt: MonotonicTime) {
        tracker.receiveReply(machine, heartbeat, sentAt)
    }

    /**
     * Does what is due by now, always in this order: outcomes are recorded, waiting runs placed, machines dropped whose lease
     * is over, missing tasks released, commands sent that are due again, and stragglers restarted.
     */
    fun tick() {
        if (!open) return
        val metrics = context.metrics
        metrics.measure("blocks: outcomes") { outcomes.flush() }
        val now = context.loop.now()
        metrics.measure("blocks: placement") { placement.place(now) }
        if (now < nextSweep) return
        nextSweep = now + SWEEP_INTERVAL
        metrics.measure("blocks: sweep") { sweep(now) }
        if (context.membership.mayAct) metrics.measure("blocks: stragglers") { stragglers.restartWorthwhile(now) }
    }

    /** Whatever a report or a record changes is seen to at once; the sweep finds what only time has changed. */
    private fun sweep(now: MonotonicTime) {
        tracker.dropExpired(now)
        reconciler.releaseMissing(now)
        if (context.membership.mayAct) machines.values.toList().forEach(commands::sendDue)
    }

    /** Drops a machine that the cloud has deleted. */
    fun deleted(machine: Machine) = tracker.deleted(machine)

    /** Whether a start of unknown outcome holds something up that only a higher fencing token can settle. */
    fun needsNewToken(): Boolean = unresolved.needHigherToken()

    /** The images of the shard's machines, as many as fit into a value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord = summary.imageRecord(limitBytes)

    /** How many of the shard's machines have missed a report. */
    fun unreachableMachines(now: MonotonicTime): Int = health.countUnreachable(now)

    /** The capacity of the shard's machines, for the leader. */
    fun capacity(): ShardCapacity = summary.capacity()

    private companion object {
        val SWEEP_INTERVAL = 400.milliseconds
    }
}
