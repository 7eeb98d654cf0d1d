package copperglade.settings

import copperglade.protocol.Endpoint
import copperglade.protocol.MemberId
import copperglade.protocol.TeamName

/**
 * The settings that the platform hands to every controller; [PlatformSettingsParser] reads them.
 *
 * @property member this controller's name, [zone] its zone.
 * @property clientListen where users and workers call, [clusterListen] where the other controllers do.
 * @property cloud the endpoint of the cloud, [state] that of the state service.
 * @property leaseSeconds the workers' lease: how long a worker keeps its tasks after the last answered heartbeat.
 * @property cancelSeconds within what time the tasks of a job must have ended once its cancellation is confirmed.
 * @property stateRequestsPerSecond this and the other limits of the state service ([stateWritesPerSecond], [valueKb],
 * [transactionWrites]) are the lower ones of those that hold now and those that are announced. All controllers share them.
 * @property listLagSeconds how late the cloud's list of machines may be.
 * @property memoryMb the machine's memory; null where the platform doesn't tell.
 */
data class PlatformSettings(
    val member: MemberId,
    val zone: String,
    val clientListen: Endpoint,
    val clusterListen: Endpoint,
    val peers: List<Peer>,
    val cloud: Endpoint,
    val state: Endpoint,
    val zones: List<String>,
    val teams: Map<TeamName, Team>,
    val objectives: ServiceLevelObjectives,
    val heartbeatIntervalSeconds: Double,
    val workerLeaseSeconds: Double,
    val cancellationDeadlineSeconds: Double,
    val stateRequestsPerSecond: Double,
    val stateWritesPerSecond: Double,
    val maxValueKb: Double,
    val maxTransactionWrites: Int,
    val cloudRequestsPerSecond: Double,
    val machineListLagSeconds: Double,
    val fileDescriptorLimit: Int,
    val memoryMb: Double? = null,
)
