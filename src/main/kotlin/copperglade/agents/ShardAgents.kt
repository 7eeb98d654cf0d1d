package copperglade.agents

import copperglade.membership.FormerIncarnations
import copperglade.tasks.ActionControl
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.RetryBackoff
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardConnections
import copperglade.tasks.ShardState
import copperglade.tasks.SharedClusterData

/**
 * The parts of a shard's owner that deal with its machines' workers and the tasks on them. Only wires them, in the order in which
 * they depend on each other; each part gets just what it needs.
 */
class ShardAgents(
    state: ShardState,
    outcomes: OutcomeWriter,
    connections: ShardConnections,
    control: ActionControl,
    clusterData: SharedClusterData,
    formerIncarnations: FormerIncarnations,
    timeouts: HeartbeatTimeouts,
) {
    private val loop = connections.loop
    private val guard = control.guard
    private val audit = control.audit
    private val client = WorkerClient(connections.http, guard, audit)
    private val planner = CommandPlanner(state, guard, loop)

    /** Judges which machines may be given tasks. */
    val health = MachineHealth(state, clusterData.failureEvidence, timeouts)

    /** The state transitions of the shard's runs. */
    val lifecycle = RunLifecycle(loop, outcomes)

    /** The delays before tasks are started again. */
    val backoff = RetryBackoff()

    /** Starts whose outcome is unknown. */
    val unresolvedStarts = UnresolvedStarts(state, guard, timeouts, loop)

    /** Sends direct commands. They need the tracker for their replies, and the tracker needs commands: the lambda ties the two. */
    val commands: WorkerCommands =
        WorkerCommands(state, planner, unresolvedStarts, lifecycle, client, control.membership, loop) { machine, heartbeat, sentAt ->
            tracker.onReply(machine, heartbeat, sentAt)
        }

    /** Stops runs. */
    val stopper = RunStopper(lifecycle, commands)
    private val profileRecorder = ProfileRecorder(clusterData.profiles, loop)
    private val exitHandler = TaskExitHandler(state, lifecycle, outcomes, backoff, clusterData.failingJobs, profileRecorder, loop)

    /** Brings the runs in line with what the workers report. */
    val reportReconciler = TaskReportReconciler(state, lifecycle, stopper, commands, exitHandler, clusterData.types, guard)
    private val machineHistory = MachineHistory(clusterData.profiles, clusterData.failureEvidence)

    /** Tracks which machines the shard has. */
    val tracker: MachineTracker = MachineTracker(state, lifecycle, reportReconciler, client, machineHistory, timeouts, loop)
    private val responses = HeartbeatResponses(state, planner, unresolvedStarts, guard, audit, timeouts, loop)

    /** Decides which heartbeats are trusted and acknowledged. */
    val heartbeatHandler = HeartbeatHandler(state, tracker, commands, responses, timeouts, loop)

    /** Brings the runs in line with the records. */
    val reconciler = RunReconciler(state, stopper, backoff, audit, loop)

    /** Lets missing runs start once no worker can hold them. */
    val missingRunRelease = MissingRunRelease(state, stopper, guard, formerIncarnations, timeouts)
}
