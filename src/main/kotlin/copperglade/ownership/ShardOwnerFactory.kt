package copperglade.ownership

import copperglade.agents.CommandPlanner
import copperglade.agents.CommandReplyListener
import copperglade.agents.HeartbeatHandler
import copperglade.agents.HeartbeatResponses
import copperglade.agents.MachineHealth
import copperglade.agents.MachineHistory
import copperglade.agents.MachineTracker
import copperglade.agents.MissingRunRelease
import copperglade.agents.ProfileRecorder
import copperglade.agents.RunReconciler
import copperglade.agents.RunStopper
import copperglade.agents.TaskExitHandler
import copperglade.agents.TaskObserver
import copperglade.agents.UnresolvedStarts
import copperglade.agents.WorkerClient
import copperglade.agents.WorkerCommands
import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.FormerIncarnations
import copperglade.membership.Membership
import copperglade.observability.ActionAudit
import copperglade.observability.EventLoopMetrics
import copperglade.placement.ShardPlacement
import copperglade.placement.ShardSummary
import copperglade.placement.StartEligibility
import copperglade.placement.StragglerDetector
import copperglade.placement.StragglerRestarts
import copperglade.prediction.ProfileStore
import copperglade.protocol.FencingToken
import copperglade.protocol.ShardName
import copperglade.safety.ActionGuard
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.tasks.FailingJobs
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.OutcomeLog
import copperglade.tasks.RetryBackoff
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardState
import copperglade.transport.EventLoop
import copperglade.transport.HttpCaller

/** How shard owners reach the rest of the world: the event loop, workers by HTTP, and the state service. */
class ShardConnections(val loop: EventLoop, val http: HttpCaller, val store: StateClient)

/** Whether this process may act, which actions are allowed, and the record of those that were taken. */
class ActionControl(val membership: Membership, val guard: ActionGuard, val audit: ActionAudit)

/** What the process knows about machines beyond the state of its shards. */
class MachineKnowledge(val types: MachineTypeCatalog, val profiles: ProfileStore, val failureEvidence: FailureEvidence)

/**
 * Creates shard owners and wires their parts, each of which gets only what it needs.
 *
 * @param stragglerMargin a straggler has run for this multiple of its job's average run time.
 */
class ShardOwnerFactory(
    private val connections: ShardConnections,
    private val replica: Replica,
    private val control: ActionControl,
    private val machineKnowledge: MachineKnowledge,
    private val formerIncarnations: FormerIncarnations,
    private val timeouts: HeartbeatTimeouts,
    private val metrics: EventLoopMetrics,
    private val stragglerMargin: Double,
) {
    private val failingJobs = FailingJobs(replica, machineKnowledge.failureEvidence)
    private val client = WorkerClient(connections.http, control.guard, control.audit)
    private val profileRecorder = ProfileRecorder(machineKnowledge.profiles, connections.loop)
    private val machineHistory = MachineHistory(machineKnowledge.profiles, machineKnowledge.failureEvidence)

    /** A closed owner of the shard [name], granted to this process under [grantToken]. */
    fun create(name: ShardName, grantToken: FencingToken): ShardOwner =
        Wiring(ShardState(name, grantToken, connections.loop.now(), replica)).shardOwner()

    /** The parts of one shard's owner, in the order in which they depend on each other. */
    private inner class Wiring(private val state: ShardState) {
        private val loop = connections.loop
        private val membership = control.membership
        private val guard = control.guard
        private val audit = control.audit
        private val types = machineKnowledge.types

        private val outcomes = OutcomeLog(loop, connections.store, replica, state, failingJobs)
        private val health = MachineHealth(state, machineKnowledge.failureEvidence, timeouts)
        private val lifecycle = RunLifecycle(loop, outcomes)
        private val backoff = RetryBackoff()

        private val planner = CommandPlanner(state, guard, loop)
        private val unresolvedStarts = UnresolvedStarts(state, guard, timeouts, loop)

        /** Commands need the tracker for their replies, and the tracker needs commands: this lambda ties the two together. */
        private val replyListener = CommandReplyListener { machine, heartbeat, sentAt -> tracker.onReply(machine, heartbeat, sentAt) }
        private val commands =
            WorkerCommands(state, planner, unresolvedStarts, lifecycle, client, membership, loop, replyListener)
        private val stopper = RunStopper(lifecycle, commands)
        private val exits = TaskExitHandler(state, lifecycle, outcomes, backoff, failingJobs, profileRecorder, loop)
        private val observer = TaskObserver(state, lifecycle, stopper, commands, exits, types, guard)
        private val tracker: MachineTracker = MachineTracker(state, lifecycle, observer, client, machineHistory, timeouts, loop)
        private val responses = HeartbeatResponses(state, planner, unresolvedStarts, guard, audit, timeouts, loop)
        private val heartbeats = HeartbeatHandler(state, tracker, commands, responses, timeouts, loop)

        private val reconciler = RunReconciler(state, stopper, backoff, audit, loop)
        private val missing = MissingRunRelease(state, stopper, guard, formerIncarnations, timeouts)

        private val eligibility = StartEligibility(state.runs, membership, guard, audit, failingJobs, backoff, loop)
        private val placement = ShardPlacement(state, health, lifecycle, stopper, commands, eligibility, types)
        private val stragglerDetector = StragglerDetector(
            machineKnowledge.profiles,
            types,
            machineKnowledge.failureEvidence,
            timeouts,
            stragglerMargin,
            state::requestOf,
        )
        private val stragglers = StragglerRestarts(state, stragglerDetector, outcomes, stopper, loop)
        private val summary = ShardSummary(state, health, types, failingJobs, loop)

        fun shardOwner() = ShardOwner(
            state,
            ShardAgents(heartbeats, tracker, observer, commands, unresolvedStarts, health),
            ShardRuns(reconciler, missing, outcomes),
            ShardScheduling(placement, stragglers, summary),
            replica,
            membership,
            metrics,
            loop,
        )
    }
}
