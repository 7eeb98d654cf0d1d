package copperglade.storage

import copperglade.protocol.LeaseId

/** The result of a request to open or extend a lease. */
sealed interface LeaseOutcome {
    class Granted(val leaseId: LeaseId) : LeaseOutcome

    data object Extended : LeaseOutcome

    /** The lease has ended, and the keys attached to the lease are deleted. */
    data object NoSuchLease : LeaseOutcome

    /** No valid answer was received; the request may have been carried out. */
    data object Failed : LeaseOutcome
}
