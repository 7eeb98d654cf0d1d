package copperglade.sim

import copperglade.storage.StateLimits

/** The size of a simulated site, and the limits that the platform sets for it. */
class SiteScale(
    val machinesPerZone: Int = 4,
    val heartbeatIntervalSeconds: Double = 1.5,
    val leaseSeconds: Double = 10.0,
    val cancelSeconds: Double = 30.0,
    val stateRequestsPerSecond: Double = 200.0,
    val stateWritesPerSecond: Double = 50.0,
    val valueKb: Double = 4.0,
    val transactionWrites: Int = 12,
    val cloudRequestsPerSecond: Double = 6.0,
    val guaranteedCpus: Double = 16.0,
    val teamCpus: Double = 60.0,
) {
    val stateLimits get() = StateLimits(stateRequestsPerSecond, stateWritesPerSecond, valueKb, transactionWrites)
}
