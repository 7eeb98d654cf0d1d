package copperglade.tasks

import copperglade.membership.SessionLease
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a worker may be silent before its machine counts as unreachable, and before its lease has expired.
 *
 * @param heartbeatIntervalSeconds the time between two heartbeats of a worker.
 * @param leaseSeconds how long a worker keeps its tasks running after its last acknowledged heartbeat.
 */
class HeartbeatTimeouts(private val heartbeatIntervalSeconds: Double, private val leaseSeconds: Double) {
    /** The lease as the worker's own clock measures it. */
    val lease: Duration get() = leaseSeconds.seconds

    /** A worker that has not been acknowledged for this long has certainly lost its lease, whatever the drift of its clock. */
    val maxLease: Duration get() = (leaseSeconds * (1 + SessionLease.CLOCK_DRIFT_ALLOWANCE) + LEASE_MARGIN_SECONDS).seconds

    /** A machine that has not been heard from for this long counts as silent. */
    val heartbeatTimeout: Duration get() = heartbeatIntervals(MISSED_HEARTBEATS)

    /** The time in which a worker sends [count] heartbeats. */
    fun heartbeatIntervals(count: Double): Duration = (heartbeatIntervalSeconds * count).seconds

    private companion object {
        const val LEASE_MARGIN_SECONDS = 0.5
        const val MISSED_HEARTBEATS = 2.5
    }
}
