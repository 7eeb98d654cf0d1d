package copperglade.tasks

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.AbsentOwners
import copperglade.membership.Membership
import copperglade.membership.SessionLease
import copperglade.observability.DecisionLog
import copperglade.observability.Workload
import copperglade.prediction.ProfileStore
import copperglade.safety.ActionGuard
import copperglade.settings.Tuning
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import copperglade.transport.HttpCaller
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the shard owners of one process share. */
class ShardContext(
    val loop: EventLoop,
    val http: HttpCaller,
    val replica: Replica,
    val membership: Membership,
    val types: MachineTypeCatalog,
    val profiles: ProfileStore,
    val tuning: Tuning,
    val reportS: Double,
    val leaseS: Double,
    val workload: Workload,
    val absentOwners: AbsentOwners,
    val guard: ActionGuard,
    val decisions: DecisionLog,
) {
    /** One for all shards of the process: the more machines are seen, the sooner a mistaken job is known. */
    val evidence = FailureEvidence(tuning.machinesToBlameJob)
    val mistakenJobs = MistakenJobs(replica, evidence)

    /** After so long without an answer a worker's lease has run out for certain, whatever its clock's drift. */
    val longestLease: Duration get() = (leaseS * (1 + SessionLease.DRIFT) + LEASE_MARGIN_S).seconds

    /** A machine of which nothing has come for so long is taken for silent. */
    val silenceLimit: Duration get() = reportIntervals(SILENT_REPORTS)

    /** The time in which a worker sends [count] reports. */
    fun reportIntervals(count: Double): Duration = (reportS * count).seconds

    private companion object {
        const val LEASE_MARGIN_S = 0.5
        const val SILENT_REPORTS = 2.5
    }
}
