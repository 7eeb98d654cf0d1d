package copperglade.storage

import copperglade.protocol.LeaseId
import copperglade.protocol.Revision

/** The revision that a key must have for a transaction to be applied. */
data class Condition(val key: String, val revision: Revision)

/** One change of a transaction. */
sealed interface Write {
    val key: String

    /** Sets [key] to an encoded [value]; with a [leaseId], the service deletes the key when that lease ends. */
    class Set(override val key: String, val value: ByteArray, val leaseId: LeaseId? = null) : Write

    class Delete(override val key: String) : Write
}

/** Writes that are applied all together if all [conditions] hold, and otherwise not at all. */
class Transaction(val conditions: List<Condition>, val writes: List<Write>)

/** How a transaction ended. */
sealed interface TransactionOutcome {
    /** Every write of the transaction carries [revision]. */
    class Applied(val revision: Revision) : TransactionOutcome

    /** Not applied: the keys in [failed] have other revisions than the conditions say. */
    class Conflict(val failed: List<String>) : TransactionOutcome

    /** Not applied: a write names a lease that has ended. */
    data object NoSuchLease : TransactionOutcome

    /** Not applied, for want of budget or because it exceeds the service's limits. */
    data object Refused : TransactionOutcome

    /** It may have been applied, or may be applied later. */
    data object Unknown : TransactionOutcome
}
