package copperglade.tasks

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.FormerIncarnations
import copperglade.membership.Membership
import copperglade.membership.SessionLease
import copperglade.observability.ActionAudit
import copperglade.observability.EventLoopMetrics
import copperglade.prediction.ProfileStore
import copperglade.safety.ActionGuard
import copperglade.settings.OperatorSettings
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the shard owners of one process share. */
class ShardContext(
    val loop: EventLoop,
    val http: HttpClient,
    val replica: Replica,
    val membership: Membership,
    val types: MachineTypeCatalog,
    val profiles: ProfileStore,
    val operatorSettings: OperatorSettings,
    val heartbeatIntervalSeconds: Double,
    val leaseSeconds: Double,
    val metrics: EventLoopMetrics,
    val formerIncarnations: FormerIncarnations,
    val guard: ActionGuard,
    val audit: ActionAudit,
) {
    /** One for all shards of the process: the more machines are seen, the sooner a failing job is known. */
    val failureEvidence = FailureEvidence(operatorSettings.failingJobMachineThreshold)
    val failingJobs = FailingJobs(replica, failureEvidence)

    /** After so long without an answer a worker's lease has run out for certain, whatever its clock's drift. */
    val maxLease: Duration get() = (leaseSeconds * (1 + SessionLease.DRIFT) + LEASE_MARGIN_S).seconds

    /** A machine of which nothing has come for so long is taken for silent. */
    val heartbeatTimeout: Duration get() = heartbeatIntervals(MISSED_HEARTBEATS)

    /** The time in which a worker sends [count] reports. */
    fun heartbeatIntervals(count: Double): Duration = (heartbeatIntervalSeconds * count).seconds

    private companion object {
        const val LEASE_MARGIN_S = 0.5
        const val MISSED_HEARTBEATS = 2.5
    }
}
