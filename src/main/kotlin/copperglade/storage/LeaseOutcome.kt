package copperglade.storage

import copperglade.protocol.LeaseId

/** The answer to a request for a lease, or for its extension. */
sealed interface LeaseOutcome {
    class Granted(val leaseId: LeaseId) : LeaseOutcome

    data object Extended : LeaseOutcome

    /** The lease has ended, and the keys written with it are deleted. */
    data object NoSuchLease : LeaseOutcome

    /** No usable answer: the request may have been carried out. */
    data object Failed : LeaseOutcome
}
