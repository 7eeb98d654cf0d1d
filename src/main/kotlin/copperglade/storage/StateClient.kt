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
 * The state service's client, which stays within this controller's share of the budgets that all controllers have together. All
 * callbacks run on the event loop; those of requests that can't be sent run before the call returns.
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

    /** When the service last answered with anything but "unavailable". */
    var lastAnswerAt: MonotonicTime = MonotonicTime.NEVER
        private set

    /** Whether the service has not answered lately. */
    fun isUnreachable(): Boolean = loop.now() >= lastAnswerAt + UNREACHABLE_AFTER

    /** Sets this controller's shares of the budgets, each from 0 to 1. */
    fun setShares(ofRequests: Double, ofWrites: Double) {
        requests.setRate(limits.requestsPerSecond * ofRequests, loop.now())
        writes.setShare(ofWrites)
    }

    /** Writes per second that this controller has wanted to make lately, those still queued included. */
    val desiredWritesPerSecond: Double get() = writes.desiredPerSecond

    /** How full the write budget is, from 0 to 1: batches widen as it shrinks. */
    fun writeBudgetLevel(): Double = writes.budgetLevel()

    /** Assignments that could be written at once. Queued writes of lower priority don't count: they would stop all assignments. */
    fun affordableAssignments(): Int = writes.affordableAssignments()

    /** Writes of the budget that less urgent assignments leave to urgent ones. */
    val urgentReserve: Int get() = writes.urgentReserve

    /** Counts [changes] as wanted that were not committed for want of budget. */
    fun recordUnmetDemand(changes: Int) = writes.recordUnmetDemand(changes)

    /** Whether [commit] would refuse a user's transaction. */
    fun isUserQueueFull(): Boolean = writes.isFull(WritePriority.USER)

    /**
     * Commits a transaction once there is write budget, in order of priority; refuses it at once where the priority's queue is full.
     * Lease writes are sent at once.
     */
    fun commit(priority: WritePriority, transaction: Transaction, done: (TransactionOutcome) -> Unit) =
        writes.commit(priority, transaction, done)

    private fun sendTransaction(transaction: Transaction, done: (TransactionOutcome) -> Unit) =
        request(StateServiceCodec.transaction(transaction), TIMEOUT) { reply -> done(outcomeOf(reply)) }

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

    /** Logs at intervals, because a transaction that exceeds the service's limits is usually tried again. */
    private fun logMalformed(error: String) {
        malformedCount++
        if (loop.now() < malformedLoggedAt + MALFORMED_LOG_INTERVAL) return
        log.error("transaction_malformed count={} error=\"{}\"", malformedCount, error)
        malformedLoggedAt = loop.now()
    }

    /** Whether the request budget allows a [read] now. */
    internal fun hasReadBudget(): Boolean = requests.available(loop.now()) >= 1

    /** Reads one key; fails at once where there is no request budget. */
    internal fun read(key: String, done: (ReadOutcome) -> Unit) {
        if (!requests.tryTake(1, loop.now())) {
            done(ReadOutcome.Failed)
            return
        }
        call(StateServiceCodec.read(key), TIMEOUT) { reply -> done(StateServiceCodec.decodeRead(reply)) }
    }

    /** Lists a page of the records whose keys begin with [prefix], after the key [from] or from the first one on. */
    internal fun list(prefix: String, from: String?, done: (ListOutcome) -> Unit) =
        request(StateServiceCodec.list(prefix, from), LIST_TIMEOUT) { reply -> done(StateServiceCodec.decodeList(reply)) }

    /** Reads the changes after the revision [from]; waits up to [wait] for the first one. */
    internal fun changes(prefix: String, from: Revision, wait: Duration, done: (ChangesOutcome) -> Unit) =
        request(StateServiceCodec.changes(prefix, from, wait), TIMEOUT + wait) { reply -> done(StateServiceCodec.decodeChanges(reply)) }

    fun openLease(length: Duration, done: (LeaseOutcome) -> Unit) =
        request(StateServiceCodec.openLease(length), TIMEOUT) { reply -> done(StateServiceCodec.decodeOpenedLease(reply)) }

    fun extendLease(leaseId: LeaseId, done: (LeaseOutcome) -> Unit) =
        request(StateServiceCodec.extendLease(leaseId), TIMEOUT) { reply -> done(StateServiceCodec.decodeExtendedLease(reply)) }

    /** Ends a lease without waiting for the answer: the service ends it anyway once it is no longer extended. */
    fun endLease(leaseId: LeaseId) = request(StateServiceCodec.endLease(leaseId), TIMEOUT) {}

    /** Sends a request that doesn't wait for request budget: later ones pay for it. */
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
        val TIMEOUT = 2.seconds
        val LIST_TIMEOUT = 5.seconds
        val log = LoggerFactory.getLogger("storage")
    }
}
