package copperglade.storage

import copperglade.protocol.Endpoint
import copperglade.protocol.LeaseId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A client of the state service that stays within this controller's share of the budgets common to all controllers. All callbacks run on
 * the event loop. If a request can't be sent, its callback runs before the call returns.
 */
class StateClient(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val endpoint: Endpoint,
    val limits: StateLimits,
    initialShare: Double = 1.0,
) {
    private val requests = TokenBucket(limits.requestsPerSecond * initialShare, BURST_SECONDS, loop.now())
    private val writes = WriteQueue(loop, limits, initialShare, BURST_SECONDS, ::sendTransaction)
    private var malformedCount = 0
    private var malformedLoggedAt = MonotonicTime.NEVER

    /** When the service last answered with a status other than 503 (service unavailable). */
    var lastAnswerAt: MonotonicTime = MonotonicTime.NEVER
        private set

    /** Whether the service has not answered for [UNREACHABLE_AFTER]. */
    fun isUnreachable(): Boolean = loop.now() >= lastAnswerAt + UNREACHABLE_AFTER

    /** Sets this controller's shares of the budgets, each from 0 to 1. */
    fun setShares(ofRequests: Double, ofWrites: Double) {
        requests.setRate(limits.requestsPerSecond * ofRequests, loop.now())
        writes.setShare(ofWrites)
    }

    /** The recent demand for writes per second, including queued writes. */
    val desiredWritesPerSecond: Double get() = writes.desiredPerSecond

    /** Returns the fill level of the write budget, from 0 to 1. Batches grow as the level falls. */
    fun writeBudgetLevel(): Double = writes.budgetLevel()

    /** Returns how many assignments could be written now. Queued writes of lower priority don't count; they would block all assignments. */
    fun affordableAssignments(): Int = writes.affordableAssignments()

    /** The number of writes that less urgent assignments must leave in the budget for urgent ones. */
    val urgentReserve: Int get() = writes.urgentReserve

    /** Adds [changes] that could not be committed within the budget to the measured demand. */
    fun recordUnmetDemand(changes: Int) = writes.recordUnmetDemand(changes)

    /** Whether [commit] would refuse a transaction of [WritePriority.USER]. */
    fun isUserQueueFull(): Boolean = writes.isFull(WritePriority.USER)

    /**
     * Commits a transaction as soon as the write budget allows, in order of priority. The transaction is refused at once if the queue of
     * its priority is full. Lease writes are sent at once.
     */
    fun commit(priority: WritePriority, transaction: Transaction, done: (TransactionOutcome) -> Unit) =
        writes.commit(priority, transaction, done)

    private fun sendTransaction(transaction: Transaction, done: (TransactionOutcome) -> Unit) =
        request(StateServiceCodec.transaction(transaction), REQUEST_TIMEOUT) { reply -> done(outcomeOf(reply)) }

    private fun outcomeOf(reply: Reply?): TransactionOutcome = when (reply?.status) {
        null -> TransactionOutcome.Unknown
        HttpStatus.OK -> StateServiceCodec.decodeAppliedRevision(reply.body)?.let { TransactionOutcome.Applied(it) }
            ?: TransactionOutcome.Unknown
        HttpStatus.CONFLICT -> TransactionOutcome.Conflict(StateServiceCodec.decodeConflict(reply.body))
        HttpStatus.BAD_REQUEST -> rejected(StateServiceCodec.decodeError(reply.body))
        HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> TransactionOutcome.Refused
        else -> {
            log.warn("transaction_unexpected_status status={}", reply.status)
            TransactionOutcome.Unknown
        }
    }

    private fun rejected(error: String): TransactionOutcome {
        if (StateServiceCodec.isNoSuchLease(error)) return TransactionOutcome.NoSuchLease
        logMalformed(error)
        return TransactionOutcome.Refused
    }

    /** Logs at most once per interval, because a transaction that exceeds the service's limits is usually retried. */
    private fun logMalformed(error: String) {
        malformedCount++
        if (loop.now() < malformedLoggedAt + MALFORMED_LOG_INTERVAL) return
        log.error("transaction_malformed count={} error=\"{}\"", malformedCount, error)
        malformedLoggedAt = loop.now()
    }

    /** Whether the request budget allows a [read] now. */
    internal fun hasReadBudget(): Boolean = requests.available(loop.now()) >= 1

    /** Reads one key. The read fails at once if the request budget is exhausted. */
    internal fun read(key: String, done: (ReadOutcome) -> Unit) {
        if (!requests.tryTake(1, loop.now())) {
            done(ReadOutcome.Failed)
            return
        }
        call(StateServiceCodec.read(key), REQUEST_TIMEOUT) { reply -> done(StateServiceCodec.decodeRead(reply)) }
    }

    /** Lists a page of the records whose keys begin with [prefix], starting after the key [from], or at the first record if it is null. */
    internal fun list(prefix: String, from: String?, done: (ListOutcome) -> Unit) =
        request(StateServiceCodec.list(prefix, from), LIST_TIMEOUT) { reply -> done(StateServiceCodec.decodeList(reply)) }

    /** Reads the changes after the revision [from]. If there are none, the service waits up to [wait] for the first one. */
    internal fun changes(prefix: String, from: Revision, wait: Duration, done: (ChangesOutcome) -> Unit) =
        request(
            StateServiceCodec.changes(prefix, from, wait),
            REQUEST_TIMEOUT + wait,
        ) { reply -> done(StateServiceCodec.decodeChanges(reply)) }

    fun openLease(length: Duration, done: (LeaseOutcome) -> Unit) =
        request(StateServiceCodec.openLease(length), REQUEST_TIMEOUT) { reply -> done(StateServiceCodec.decodeOpenedLease(reply)) }

    fun extendLease(leaseId: LeaseId, done: (LeaseOutcome) -> Unit) =
        request(StateServiceCodec.extendLease(leaseId), REQUEST_TIMEOUT) { reply -> done(StateServiceCodec.decodeExtendedLease(reply)) }

    /** Ends a lease without waiting for the answer, because a lease that is no longer extended expires anyway. */
    fun endLease(leaseId: LeaseId) = request(StateServiceCodec.endLease(leaseId), REQUEST_TIMEOUT) {}

    /** Sends a request without waiting for request budget. The cost is deducted from the budget of later requests. */
    private fun request(request: Request, timeout: Duration, done: (Reply?) -> Unit) {
        requests.take(1, loop.now())
        call(request, timeout, done)
    }

    private fun call(request: Request, timeout: Duration, done: (Reply?) -> Unit) = http.call(endpoint, request, timeout) { reply ->
        if (reply != null && reply.status != HttpStatus.SERVICE_UNAVAILABLE) lastAnswerAt = loop.now()
        if (reply?.status == HttpStatus.TOO_MANY_REQUESTS) log.info("state_service_over_budget")
        done(reply)
    }

    private companion object {
        const val BURST_SECONDS = 0.8
        val MALFORMED_LOG_INTERVAL = 10.seconds
        val UNREACHABLE_AFTER = 1.seconds
        val REQUEST_TIMEOUT = 2.seconds
        val LIST_TIMEOUT = 5.seconds
        val log = LoggerFactory.getLogger("storage")
    }
}
