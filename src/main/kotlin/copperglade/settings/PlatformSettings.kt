package copperglade.settings

import copperglade.protocol.Endpoint
import copperglade.protocol.MemberId
import copperglade.protocol.TeamName

/**
 * The settings that the platform passes to each controller; [PlatformSettingsParser] reads them.
 *
 * The limits of the state service are [stateRequestsPerSecond], [stateWritesPerSecond], [maxValueKb] and [maxTransactionWrites]. Each is
 * the lower of the current limit and the announced one. The limits apply to all controllers together.
 *
 * @property member this controller's name.
 * @property zone this controller's zone.
 * @property clientListen the endpoint on which this controller serves users and workers.
 * @property clusterListen the endpoint on which this controller serves the other controllers.
 * @property cloud the endpoint of the cloud's API.
 * @property state the endpoint of the state service.
 * @property workerLeaseSeconds how long a worker keeps its tasks running after its last answered heartbeat.
 * @property cancellationDeadlineSeconds the time within which the tasks of a job must have ended after its cancellation is confirmed.
 * @property machineListLagSeconds the maximum delay with which the cloud's list of machines shows changes.
 * @property memoryMb the machine's memory; null where the platform doesn't state it.
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
