package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.LeaseId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The revision a key must have for a transaction to be applied. */
data class Condition(val key: String, val revision: Revision)

sealed interface Write {
    val key: String

    class Set(override val key: String, val value: ByteArray, val leaseId: LeaseId? = null) : Write

    class Delete(override val key: String) : Write
}

class Transaction(val conditions: List<Condition>, val writes: List<Write>)

sealed interface TransactionOutcome {
    /** Every change of the transaction carries [revision]. */
    class Applied(val revision: Revision) : TransactionOutcome

    class Conflict(val failed: List<String>) : TransactionOutcome

    data object NoSuchLease : TransactionOutcome

    /** Surely not carried out. */
    data object Refused : TransactionOutcome

    /** May have been carried out, or may yet be. */
    data object Unknown : TransactionOutcome
}

/**
 * What comes first when there is less budget than work, and how full the budget must be for it. Assignments are decided
 * by what could be written at once: without a reserve, clearing up took every bit that came free, and on a grown day
 * the leader assigned nothing but urgent tasks for ten seconds at a time, while half of 500 machines stood idle.
 */
enum class WritePriority(val reserve: Double) { LEASE(0.0), USER(0.0), ASSIGNMENT(0.0), OUTCOME(0.1), CLEANUP(0.6) }

class Entry(val key: String, val value: JsonNode, val revision: Revision)

class Listing(val entries: List<Entry>, val more: Boolean, val storeRevision: Revision)

sealed interface Change {
    val key: String
    val revision: Revision

    class Set(override val key: String, val value: JsonNode, override val revision: Revision) : Change

    class Deleted(override val key: String, override val revision: Revision) : Change
}

sealed interface ChangesOutcome {
    class Received(val storeRevision: Revision, val changes: List<Change>) : ChangesOutcome

    /** The service no longer knows what happened since: read all keys again. */
    data object TooOld : ChangesOutcome

    data object Failed : ChangesOutcome
}

sealed interface ReadOutcome {
    class Present(val value: JsonNode, val revision: Revision) : ReadOutcome

    data object Absent : ReadOutcome

    data object Failed : ReadOutcome
}

sealed interface LeaseOutcome {
    class Granted(val leaseId: LeaseId) : LeaseOutcome

    data object Extended : LeaseOutcome

    data object Gone : LeaseOutcome

    data object Failed : LeaseOutcome
}

/** Limits of the state service, as the platform's settings give them. */
class StateLimits(val requestsPerS: Double, val writesPerS: Double, val valueKb: Double, val transactionWrites: Int) {
    /** The protocol allows four conditions for each write that a transaction may have. */
    val transactionConditions get() = transactionWrites * CONDITIONS_PER_WRITE

    /** The largest value, in bytes. */
    val valueBytes get() = (valueKb * BYTES_OF_KB).toInt()

    private companion object {
        const val CONDITIONS_PER_WRITE = 4
        const val BYTES_OF_KB = 1024
    }
}
