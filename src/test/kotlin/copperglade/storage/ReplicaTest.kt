package copperglade.storage

import copperglade.protocol.Endpoint
import copperglade.protocol.JobId
import copperglade.protocol.Revision
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.SimSite
import copperglade.sim.Simulation
import copperglade.standin.StandInState
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ReplicaTest {
    private val sim = Simulation(1)
    private val loop = SimLoop(sim)
    private val network = SimNetwork(sim).also { it.listen(STATE, "state", loop, StandInState(loop)) }
    private val store = StateClient(loop, network.callerOf("node", loop), STATE, StateLimits(1e3, 1e3, 4.0, 12))
    private val replica = Replica(loop, store).also { it.start() }
    private val id = JobId("job-1")
    private val record = RecordCodec.encode(LiveRecord(SimSite.job(1, tasks = 1), 0, cancelled = true))

    /** Commits [write] without telling the replica, lets it read the change, and returns the revision. */
    private fun commit(write: Write): Revision {
        var revision = Revision.ABSENT
        store.commit(WritePriority.USER, Transaction(emptyList(), listOf(write))) {
            revision = (it as TransactionOutcome.Applied).revision
        }
        sim.run(1_000.0)
        return revision
    }

    /** A controller that stood still reads the changes first, and its own transaction's answer afterwards. */
    @Test
    fun `an answer that arrives after the record's deletion was read does not bring the record back`() {
        sim.run(500.0)
        val write = Write.Set(Keys.live(id), record)
        val revision = commit(write)
        assertNotNull(replica.jobs[id]?.live)
        commit(Write.Delete(Keys.live(id)))
        assertNull(replica.jobs[id]?.live)
        replica.applyCommitted(Transaction(emptyList(), listOf(write)), revision)
        assertNull(replica.jobs[id]?.live)
    }

    private companion object {
        val STATE = Endpoint("10.2.0.1", 2379)
    }
}
