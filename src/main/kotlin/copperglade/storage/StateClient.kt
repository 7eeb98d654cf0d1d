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
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The state service as this controller may use it: within its share of the budgets that all controllers have together.
 * Transactions wait for write budget in order of urgency; whoever comes when the queue is full is refused at once.
 */
class StateClient(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val endpoint: Endpoint,
    val limits: StateLimits,
    firstShare: Double = 1.0,
) {
    private class Queued(val transaction: Transaction, val done: (TransactionOutcome) -> Unit)

    private val queues = WritePriority.entries.associateWith { ArrayDeque<Queued>() }
    private val requests = TokenBucket(limits.requestsPerS * firstShare, BURST_S, loop.now())
    private val writes = TokenBucket(limits.writesPerS * firstShare, BURST_S, loop.now())
    private val demand = RecentRate(DEMAND_S)
    private var inFlight = 0
    private var draining = false
    private var malformed = 0
    private var malformedReportedAt = MonotonicTime.NEVER

    /** When the service last answered as it should. */
    var lastAnswerAt: MonotonicTime = MonotonicTime.NEVER
        private set

    /** Whether the service has not answered lately. */
    fun isUnreachable(): Boolean = loop.now() >= lastAnswerAt + SILENCE

    /** Sets this controller's parts of the budgets. */
    fun setShares(ofRequests: Double, ofWrites: Double) {
        requests.setRate(limits.requestsPerS * ofRequests, loop.now())
        writes.setRate(limits.writesPerS * ofWrites, loop.now())
    }

    /** Changes a second that there have been to make lately, those still waiting included. */
    val desiredWritesPerSecond: Double get() = demand.rate(loop.now()) + queues.values.sumOf { it.size } / DEMAND_S

    /** How much of the write budget is left, from 0 to 1: batches widen as it shrinks. */
    fun writeBudgetLevel(): Double = writes.level(loop.now())

    /**
     * Assignments that could be written at once. What is less urgent doesn't count: on a quiet bench day a queue of
     * clearing up kept this below 0, nothing was assigned any more, and 28 machines stood idle.
     */
    fun affordableAssignments(): Int {
        val ahead = queues.filterKeys { it <= WritePriority.ASSIGNMENT }.values.sumOf { queue ->
            queue.sumOf { it.transaction.writes.size }
        }
        return writes.available(loop.now()) - ahead
    }

    /** So much of the budget less urgent assignments leave to urgent ones. */
    val urgentReserve: Int get() = (writes.capacity * KEPT_FOR_URGENT).toInt()

    /** Takes note of changes that would have been made, had there been budget. */
    fun recordUnmetDemand(changes: Int) = demand.add(changes, loop.now())

    /** Whether a further transaction of a user would have to wait for long. */
    fun isUserQueueFull(): Boolean = queues.getValue(WritePriority.USER).size >= MAX_QUEUED

    fun commit(urgency: WritePriority, transaction: Transaction, done: (TransactionOutcome) -> Unit) {
        val queue = queues.getValue(urgency)
        if (urgency != WritePriority.LEASE && queue.size >= MAX_QUEUED) {
            done(TransactionOutcome.Refused)
            return
        }
        demand.add(transaction.writes.size, loop.now())
        queue.addLast(Queued(transaction, done))
        drain()
    }

    private fun drain() {
        for ((urgency, queue) in queues) {
            while (queue.isNotEmpty()) {
                val next = queue.first()
                if (urgency == WritePriority.LEASE) {
                    writes.take(next.transaction.writes.size, loop.now())
                } else if (inFlight >= MAX_IN_FLIGHT ||
                    !writes.tryTake(next.transaction.writes.size, loop.now(), reserveFor(urgency, next.transaction))
                ) {
                    drainLater()
                    return
                }
                queue.removeFirst()
                send(next)
            }
        }
    }

    /**
     * What doesn't come from a user leaves one change to the next user. With a small share of a small budget the urgency's own
     * reserve is less than that: on a quiet simulated day with 21 changes a second for three controllers, outcomes took every change as
     * soon as it was to be had, and 8% of the submissions waited for longer than 300 ms.
     */
    private fun reserveFor(urgency: WritePriority, transaction: Transaction): Double {
        if (urgency <= WritePriority.ASSIGNMENT) return urgency.reserve
        val withOneMore = (transaction.writes.size + 1) / writes.capacity
        return maxOf(urgency.reserve, minOf(withOneMore, MAX_RESERVED))
    }

    private fun drainLater() {
        if (draining) return
        draining = true
        loop.after(DRAIN_PAUSE) {
            draining = false
            drain()
        }
    }

    private fun send(queued: Queued) {
        inFlight++
        val body = encode(queued.transaction)
        request(Request(Method.POST, "/multi", body), TIMEOUT) { reply ->
            inFlight--
            queued.done(outcomeOf(reply))
            drain()
        }
    }

    private fun outcomeOf(reply: Reply?): TransactionOutcome = when (reply?.status) {
        null -> TransactionOutcome.Unknown
        HttpStatus.OK -> Json.read(reply.body)?.longOrNull("ledger")?.let { TransactionOutcome.Applied(Revision(it)) }
            ?: TransactionOutcome.Unknown
        HttpStatus.CONFLICT -> TransactionOutcome.Conflict(
            Json
                .read(reply.body)
                ?.get("failed")
                ?.map { it.asText() }
                .orEmpty(),
        )
        HttpStatus.BAD_REQUEST -> {
            val problem = Json.read(reply.body)?.stringOrNull("error").orEmpty()
            if (problem.contains(NO_SUCH_LEASE, ignoreCase = true)) {
                TransactionOutcome.NoSuchLease
            } else {
                reportMalformed(problem)
                TransactionOutcome.Refused
            }
        }
        HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> TransactionOutcome.Refused
        else -> {
            log.warn("unexpected status {} for a transaction", reply.status)
            TransactionOutcome.Unknown
        }
    }

    /** Transactions that don't fit the service's limits are tried again and again: one line now and then tells of them. */
    private fun reportMalformed(problem: String) {
        malformed++
        if (loop.now() < malformedReportedAt + MALFORMED_REPORT_INTERVAL) return
        log.error("the state service calls a transaction malformed ({} so far): {}", malformed, problem)
        malformedReportedAt = loop.now()
    }

    /** Whether the budget has room for a reading that nothing else waits for. */
    fun hasReadBudget(): Boolean = requests.available(loop.now()) >= 1

    fun read(key: String, done: (ReadOutcome) -> Unit) {
        if (!requests.tryTake(1, loop.now())) {
            done(ReadOutcome.Failed)
            return
        }
        request(Request(Method.GET, "/kv/$key"), TIMEOUT, counted = true) { reply ->
            val node = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body) }
            val value = node?.get("data")
            val revision = node?.longOrNull("stamp")
            done(
                when {
                    value != null && revision != null -> ReadOutcome.Present(value, Revision(revision))
                    reply?.status == HttpStatus.NOT_FOUND -> ReadOutcome.Absent
                    else -> ReadOutcome.Failed
                },
            )
        }
    }

    fun list(prefix: String, from: String?, done: (Listing?) -> Unit) {
        val after = if (from == null) "" else "&from=$from"
        request(Request(Method.GET, "/kv?starts=$prefix$after&limit=$LIST_LIMIT"), LIST_TIMEOUT) { reply ->
            val node = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body) }
            val storeRevision = node?.longOrNull("ledger")
            val entries = node?.get("entries")?.mapNotNull { entry ->
                val key = entry.stringOrNull("k")
                val value = entry.get("data")
                val revision = entry.longOrNull("stamp")
                if (key == null || value == null || revision == null) null else Entry(key, value, Revision(revision))
            }
            done(
                if (storeRevision == null ||
                    entries == null
                ) {
                    null
                } else {
                    Listing(entries, node.booleanOrNull("truncated") ?: false, Revision(storeRevision))
                },
            )
        }
    }

    /** Changes since [from]; waits up to [wait] for the first one. */
    fun changes(prefix: String, from: Revision, wait: Duration, done: (ChangesOutcome) -> Unit) {
        val path = "/changes?starts=$prefix&from=$from&waitMs=${wait.inWholeMilliseconds}"
        request(Request(Method.GET, path), TIMEOUT + wait) { reply ->
            done(
                when (reply?.status) {
                    HttpStatus.OK -> decodeChanges(Json.read(reply.body))
                    HttpStatus.GONE -> ChangesOutcome.TooOld
                    else -> ChangesOutcome.Failed
                },
            )
        }
    }

    private fun decodeChanges(node: JsonNode?): ChangesOutcome {
        val storeRevision = node?.longOrNull("ledger") ?: return ChangesOutcome.Failed
        val changes = node.get("events")?.mapNotNull { event ->
            val revision = Revision(event.longOrNull("stamp") ?: return@mapNotNull null)
            val dropped = event.stringOrNull("drop")
            if (dropped != null) return@mapNotNull Change.Deleted(dropped, revision)
            val key = event.stringOrNull("set") ?: return@mapNotNull null
            Change.Set(key, event.get("data") ?: return@mapNotNull null, revision)
        }
        return ChangesOutcome.Received(Revision(storeRevision), changes.orEmpty())
    }

    fun openLease(length: Duration, done: (LeaseOutcome) -> Unit) {
        val body = Json.write { writeJsonObject { writeNumberField("ttlMs", length.inWholeMilliseconds) } }
        request(Request(Method.POST, "/holds", body), TIMEOUT) { reply ->
            val leaseId = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body)?.longOrNull("permit") }
            done(if (leaseId == null) LeaseOutcome.Failed else LeaseOutcome.Granted(LeaseId(leaseId)))
        }
    }

    fun extendLease(leaseId: LeaseId, done: (LeaseOutcome) -> Unit) {
        request(Request(Method.POST, "/holds/$leaseId/extend"), TIMEOUT) { reply ->
            done(
                when (reply?.status) {
                    HttpStatus.OK -> LeaseOutcome.Extended
                    HttpStatus.NOT_FOUND -> LeaseOutcome.Gone
                    else -> LeaseOutcome.Failed
                },
            )
        }
    }

    fun endLease(leaseId: LeaseId) = request(Request(Method.DELETE, "/holds/$leaseId"), TIMEOUT) {}

    private fun request(request: Request, timeout: Duration, counted: Boolean = false, done: (Reply?) -> Unit) {
        if (!counted) requests.take(1, loop.now())
        http.call(endpoint, request, timeout) { reply ->
            if (reply != null && reply.status != HttpStatus.SERVICE_UNAVAILABLE) lastAnswerAt = loop.now()
            if (reply?.status == HttpStatus.TOO_MANY_REQUESTS) log.info("over the state service's budget")
            done(reply)
        }
    }

    private fun encode(transaction: Transaction): ByteArray = Json.write {
        writeJsonObject {
            writeJsonArray("if") {
                for (condition in transaction.conditions) {
                    writeJsonObject {
                        writeStringField("k", condition.key)
                        writeNumberField("stamp", condition.revision.number)
                    }
                }
            }
            writeJsonArray("writes") {
                for (write in transaction.writes) {
                    writeJsonObject {
                        when (write) {
                            is Write.Delete -> writeStringField("drop", write.key)
                            is Write.Set -> {
                                writeStringField("set", write.key)
                                writeFieldName("data")
                                writeRawValue(write.value.decodeToString())
                                write.leaseId?.let { writeNumberField("permit", it.number) }
                            }
                        }
                    }
                }
            }
        }
    }

    companion object {
        private const val NO_SUCH_LEASE = "no such lease"
        private val MALFORMED_REPORT_INTERVAL = 10.seconds
        private const val BURST_S = 0.8
        private const val DEMAND_S = 2.0
        private const val KEPT_FOR_URGENT = 0.2

        /** However small a budget is, what is less urgent gets its turn when so much of the bucket is full. */
        private const val MAX_RESERVED = 0.8
        private const val LIST_LIMIT = 1000
        private const val MAX_QUEUED = 400
        private const val MAX_IN_FLIGHT = 12
        private val SILENCE = 1.seconds
        private val TIMEOUT = 2.seconds
        private val LIST_TIMEOUT = 5.seconds
        private val DRAIN_PAUSE = 20.milliseconds
        private val log = LoggerFactory.getLogger("state")
    }
}
