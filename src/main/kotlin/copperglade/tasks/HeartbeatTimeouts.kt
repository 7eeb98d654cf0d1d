package copperglade.tasks

import copperglade.membership.SessionLease
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The timeouts after which a machine's heartbeat counts as timed out, and after which its worker's lease has expired.
 *
 * @param heartbeatIntervalSeconds the time between two heartbeats of a worker.
 * @param leaseSeconds how long a worker keeps its tasks running after its last acknowledged heartbeat.
 */
class HeartbeatTimeouts(private val heartbeatIntervalSeconds: Double, private val leaseSeconds: Double) {
    /** The duration of the lease, measured by the worker's own clock. */
    val lease: Duration get() = leaseSeconds.seconds

    /** The time after a worker's last acknowledged heartbeat by which its lease has certainly expired, clock drift included. */
    val maxLease: Duration get() = (leaseSeconds * (1 + SessionLease.CLOCK_DRIFT_ALLOWANCE) + LEASE_MARGIN_SECONDS).seconds

    /** The time without an accepted heartbeat or reply after which a machine's heartbeat counts as timed out. */
    val heartbeatTimeout: Duration get() = heartbeatIntervals(HEARTBEAT_TIMEOUT_INTERVALS)

    /** Returns the time in which a worker sends [count] heartbeats. */
    fun heartbeatIntervals(count: Double): Duration = (heartbeatIntervalSeconds * count).seconds

    private companion object {
        const val LEASE_MARGIN_SECONDS = 0.5
        const val HEARTBEAT_TIMEOUT_INTERVALS = 2.5
    }
}
