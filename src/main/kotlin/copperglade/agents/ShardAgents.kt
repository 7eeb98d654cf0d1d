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
 * Wires the components of a shard owner that handle its workers and their tasks, in the order of their dependencies. Each component
 * gets only the dependencies that it needs.
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
    private val planner = CommandPlanner(state, guard, audit, loop)

    /** Decides on which machines tasks may be placed. */
    val health = MachineHealth(state, clusterData.failureEvidence, timeouts)

    /** Observes the tasks on machines on which others have failed. */
    val trials = MachineTrials(state, clusterData.failureEvidence)

    /** The state transitions of the shard's runs. */
    val lifecycle = RunLifecycle(loop, outcomes, audit)

    /** The delays before tasks are started again. */
    val backoff = RetryBackoff()

    /** Sends direct commands. The replies go to the tracker through a lambda, since the tracker in turn depends on the commands. */
    val commands: WorkerCommands =
        WorkerCommands(state, planner, lifecycle, client, control.membership, loop) { machine, heartbeat, sentAt ->
            tracker.onReply(machine, heartbeat, sentAt)
        }

    /** Stops runs. */
    val stopper = RunStopper(lifecycle, commands)
    private val profileRecorder = ProfileRecorder(clusterData.profiles, loop)
    private val exitHandler = TaskExitHandler(state, lifecycle, outcomes, backoff, clusterData.failingJobs, profileRecorder, audit, loop)

    /** Updates the runs from the workers' reports. */
    val reportReconciler = TaskReportReconciler(state, lifecycle, stopper, commands, exitHandler, clusterData.types, guard, loop)
    private val machineHistory = MachineHistory(clusterData.profiles, clusterData.failureEvidence)

    /** Tracks the machines of the shard. */
    val tracker: MachineTracker = MachineTracker(state, lifecycle, reportReconciler, client, machineHistory, timeouts, loop)
    private val responses = HeartbeatResponses(state, planner, guard, audit, timeouts, loop)

    /** Decides which heartbeats are trusted and acknowledged. */
    val heartbeatHandler = HeartbeatHandler(state, tracker, commands, responses, timeouts, loop)

    /** Updates the runs from the records. */
    val reconciler = RunReconciler(state, stopper, backoff, audit, loop)

    /** Releases missing runs once their tasks are confirmed absent from all workers. */
    val missingRunRelease = MissingRunRelease(state, stopper, guard, formerIncarnations, timeouts)
}
