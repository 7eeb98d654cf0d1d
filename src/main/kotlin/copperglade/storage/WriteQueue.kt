package copperglade.storage

import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/**
 * The write budget, and the transactions waiting for it in order of priority.
 *
 * @param send sends a transaction; must call back exactly once, even if no answer arrives.
 */
internal class WriteQueue(
    private val loop: EventLoop,
    private val limits: StateLimits,
    initialShare: Double,
    burstSeconds: Double,
    private val send: (Transaction, (TransactionOutcome) -> Unit) -> Unit,
) {
    private class Queued(val transaction: Transaction, val done: (TransactionOutcome) -> Unit) {
        val writes: Int get() = transaction.writes.size
    }

    private val queues = WritePriority.entries.associateWith { ArrayDeque<Queued>() }
    private val budget = TokenBucket(limits.writesPerSecond * initialShare, burstSeconds, loop.now())
    private val demand = RecentRate(DEMAND_WINDOW_SECONDS)
    private var inFlight = 0
    private var drainScheduled = false

    fun setShare(share: Double) = budget.setRate(limits.writesPerSecond * share, loop.now())

    /** See [StateClient.desiredWritesPerSecond]. */
    val desiredPerSecond: Double get() = demand.rate(loop.now()) + queues.values.sumOf { it.size } / DEMAND_WINDOW_SECONDS

    /** See [StateClient.writeBudgetLevel]. */
    fun budgetLevel(): Double = budget.level(loop.now())

    /** See [StateClient.affordableAssignments]. */
    fun affordableAssignments(): Int {
        val ahead = queues.filterKeys { it <= WritePriority.ASSIGNMENT }.values.sumOf { queue -> queue.sumOf { it.writes } }
        return budget.available(loop.now()) - ahead
    }

    /** See [StateClient.urgentReserve]. */
    val urgentReserve: Int get() = (budget.capacity * URGENT_SHARE).toInt()

    /** See [StateClient.recordUnmetDemand]. */
    fun recordUnmetDemand(changes: Int) = demand.add(changes, loop.now())

    fun isFull(priority: WritePriority): Boolean = queues.getValue(priority).size >= MAX_QUEUED

    /** See [StateClient.commit]. */
    fun commit(priority: WritePriority, transaction: Transaction, done: (TransactionOutcome) -> Unit) {
        if (priority != WritePriority.LEASE && isFull(priority)) {
            done(TransactionOutcome.Refused)
            return
        }
        demand.add(transaction.writes.size, loop.now())
        queues.getValue(priority).addLast(Queued(transaction, done))
        drain()
    }

    private fun drain() {
        for ((priority, queue) in queues) {
            while (queue.isNotEmpty()) {
                val next = queue.first()
                if (!takeBudget(priority, next)) {
                    scheduleDrain()
                    return
                }
                queue.removeFirst()
                sendNow(next)
            }
        }
    }

    /** Takes the budget for [next]; returns false if [next] must wait. Lease writes never wait; later refills cover a deficit. */
    private fun takeBudget(priority: WritePriority, next: Queued): Boolean {
        if (priority != WritePriority.LEASE) {
            return inFlight < MAX_IN_FLIGHT && budget.tryTake(next.writes, loop.now(), reserveFor(priority, next))
        }
        budget.take(next.writes, loop.now())
        return true
    }

    /**
     * Returns the fill level that the budget must have before [next] is sent. Outcomes and clean-up leave enough budget for one write by a
     * user, which exceeds the priority's own reserve if this controller's share of the budget is small.
     */
    private fun reserveFor(priority: WritePriority, next: Queued): Double {
        if (priority <= WritePriority.ASSIGNMENT) return priority.reserve
        val withOneMore = (next.writes + 1) / budget.capacity
        return maxOf(priority.reserve, minOf(withOneMore, MAX_RESERVE))
    }

    private fun scheduleDrain() {
        if (drainScheduled) return
        drainScheduled = true
        loop.after(DRAIN_INTERVAL) {
            drainScheduled = false
            drain()
        }
    }

    private fun sendNow(queued: Queued) {
        inFlight++
        send(queued.transaction) { outcome ->
            inFlight--
            queued.done(outcome)
            drain()
        }
    }

    private companion object {
        const val DEMAND_WINDOW_SECONDS = 2.0
        const val URGENT_SHARE = 0.2

        /** Below 1, so that low-priority transactions are sent even if the budget is very small. */
        const val MAX_RESERVE = 0.8
        const val MAX_QUEUED = 400
        const val MAX_IN_FLIGHT = 12
        val DRAIN_INTERVAL = 20.milliseconds
    }
}
