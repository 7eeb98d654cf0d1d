package copperglade.storage

import copperglade.protocol.LeaseId
import copperglade.protocol.Revision

/** A condition of a transaction: [key] must have exactly this [revision]. */
data class Condition(val key: String, val revision: Revision)

/** One write of a transaction. */
sealed interface Write {
    val key: String

    /** Sets [key] to an encoded [value]; with a [leaseId], the service deletes the key when that lease ends. */
    class Set(override val key: String, val value: ByteArray, val leaseId: LeaseId? = null) : Write

    class Delete(override val key: String) : Write
}

/** Writes that are applied atomically if all [conditions] are met, and otherwise not at all. */
class Transaction(val conditions: List<Condition>, val writes: List<Write>)

/** The outcome of a transaction. */
sealed interface TransactionOutcome {
    /** Applied: every key written by the transaction has the revision [revision]. */
    class Applied(val revision: Revision) : TransactionOutcome

    /** Not applied: the revisions of the keys in [failed] don't match the conditions. */
    class Conflict(val failed: List<String>) : TransactionOutcome

    /** Not applied: a write refers to a lease that has ended. */
    data object NoSuchLease : TransactionOutcome

    /** Not applied: the budget is exhausted, or the transaction exceeds the service's limits. */
    data object Refused : TransactionOutcome

    /** The outcome is unknown: the transaction may have been applied, or may be applied later. */
    data object Unknown : TransactionOutcome
}
