package copperglade.tasks

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.Membership
import copperglade.observability.ActionAudit
import copperglade.prediction.ProfileStore
import copperglade.safety.ActionGuard
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient

/** How shard owners reach the rest of the world: the event loop, workers by HTTP, and the state service. For wiring only. */
class ShardConnections(val loop: EventLoop, val http: HttpClient, val store: StateClient)

/** Whether this process may act, which actions are allowed, and the record of those that were taken. For wiring only. */
class ActionControl(val membership: Membership, val guard: ActionGuard, val audit: ActionAudit)

/** What the process has learned about machines and jobs, shared by the owners of all its shards. For wiring only. */
class SharedClusterData(
    val types: MachineTypeCatalog,
    val profiles: ProfileStore,
    val failureEvidence: FailureEvidence,
    val failingJobs: FailingJobs,
)
