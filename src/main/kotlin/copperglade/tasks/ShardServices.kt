package copperglade.tasks

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.Membership
import copperglade.observability.ActionAudit
import copperglade.prediction.ProfileStore
import copperglade.safety.ActionGuard
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient

/** The external connections of shard owners: event loop, HTTP client for workers, and state service client. For wiring only. */
class ShardConnections(val loop: EventLoop, val http: HttpClient, val store: StateClient)

/** The authority of this process to act, the check of each action, and the audit log of actions. For wiring only. */
class ActionControl(val membership: Membership, val guard: ActionGuard, val audit: ActionAudit)

/** Data about machines and jobs that the owners of all shards in this process share. For wiring only. */
class SharedClusterData(
    val types: MachineTypeCatalog,
    val profiles: ProfileStore,
    val failureEvidence: FailureEvidence,
    val failingJobs: FailingJobs,
)
