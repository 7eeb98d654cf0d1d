package copperglade.storage

import copperglade.protocol.Endpoint
import copperglade.protocol.LeaseId
import copperglade.protocol.Revision
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.Simulation
import copperglade.standin.ServiceLimits
import copperglade.standin.StandInState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The outcomes of transactions that exceed the service's limits, and the write budget reserved for users. */
class StateClientTest {
    private val sim = Simulation(1)
    private val network = SimNetwork(sim)
    private val loop = SimLoop(sim)
    private val service = StandInState(loop).also { network.listen(AT, "state", loop, it) }
    private val client = StateClient(loop, network.callerOf("writer", loop), AT, StateLimits(1e6, 1e6, 4.0, 12))

    private fun outcomeOf(conditions: Int, writes: List<Write>): TransactionOutcome? {
        var outcome: TransactionOutcome? = null
        val transaction = Transaction(List(conditions) { Condition("none/$it", Revision.ABSENT) }, writes)
        client.commit(WritePriority.USER, transaction) { outcome = it }
        sim.run(500.0)
        return outcome
    }

    private fun set(number: Int, bytes: Int = 9) = Write.Set("key/$number", "1".repeat(bytes).toByteArray())

    @Test
    fun `a transaction that exceeds a limit is refused and not applied`() {
        service.limits = ServiceLimits(valueBytes = 20, transactionWrites = 2, changesPerS = 100.0)
        assertInstanceOf(TransactionOutcome.Applied::class.java, outcomeOf(8, listOf(set(1, bytes = 20), set(2))))
        assertEquals(TransactionOutcome.Refused, outcomeOf(0, listOf(set(3, bytes = 21))))
        assertEquals(TransactionOutcome.Refused, outcomeOf(0, listOf(set(3), set(4), set(5))))
        assertEquals(TransactionOutcome.Refused, outcomeOf(9, listOf(set(3))))
        service.limits = ServiceLimits(valueBytes = 20, transactionWrites = 2, changesPerS = 1.0)
        assertEquals(TransactionOutcome.Refused, outcomeOf(0, listOf(set(3), set(4))))
        assertEquals(listOf("key/1", "key/2"), service.keys("key/"))
        with(service.limitRefusals) { assertEquals(listOf(1, 1, 1, 1), listOf(largeValues, manyWrites, manyConditions, overRate)) }
    }

    @Test
    fun `a write with a lease that has ended is answered with NoSuchLease`() {
        val write = Write.Set("key/1", "1".toByteArray(), LeaseId(7))
        assertEquals(TransactionOutcome.NoSuchLease, outcomeOf(0, listOf(write)))
    }

    /** Returns the wait for each user transaction in milliseconds, with a small budget and queued transactions of priority [backlog]. */
    private fun userWaitMillis(backlog: WritePriority): List<Double> {
        val small = StateClient(loop, network.callerOf("small", loop), AT, StateLimits(1e6, 5.0, 4.0, 12))
        repeat(200) { small.commit(backlog, Transaction(emptyList(), listOf(set(it)))) {} }
        return List(20) {
            sim.run(1500.0 + sim.random.nextInt(200))
            val sentAt = sim.nowMillis
            var answeredAt = 0.0
            small.commit(WritePriority.USER, Transaction(emptyList(), listOf(set(1000 + it)))) { answeredAt = sim.nowMillis }
            sim.run(1000.0)
            answeredAt - sentAt
        }
    }

    @Test
    fun `outcomes and clean-up leave budget for a user's transaction even if the budget is small`() {
        for (backlog in listOf(WritePriority.OUTCOME, WritePriority.CLEANUP)) {
            val waits = userWaitMillis(backlog)
            assertTrue(waits.all { it in 0.0..30.0 }, "$backlog: $waits")
        }
    }

    private companion object {
        val AT = Endpoint("10.2.0.1", 2379)
    }
}
