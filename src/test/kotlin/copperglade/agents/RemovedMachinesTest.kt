package copperglade.agents

import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.sim.SimLoop
import copperglade.sim.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RemovedMachinesTest {
    private val sim = Simulation(1)
    private val removedMachines = RemovedMachines(SimLoop(sim))

    private fun machine(number: Int) = MachineName("i-$number")

    private fun heartbeat(number: Int, epoch: Long) =
        Heartbeat(machine(number), Endpoint("10.0.0.1", 1), "box", "north", false, epoch, 1, FencingToken(1), null, emptyList())

    /** Guards against a limit on the number of removals: late copies of heartbeats would add the evicted machines again. */
    @Test
    fun `all removals of a large fleet are kept while late copies of heartbeats may arrive`() {
        repeat(MACHINE_COUNT) { removedMachines.recordExpired(machine(it), epoch = 3) }
        sim.run(50 * 60_000.0)
        removedMachines.recordDeleted(machine(MACHINE_COUNT))
        repeat(MACHINE_COUNT) { number ->
            assertTrue(removedMachines.predatesRemoval(heartbeat(number, epoch = 3)))
            assertFalse(removedMachines.predatesRemoval(heartbeat(number, epoch = 4)))
        }
    }

    @Test
    fun `removals older than the retention period are evicted`() {
        repeat(MACHINE_COUNT) { removedMachines.recordDeleted(machine(it)) }
        sim.run(61 * 60_000.0)
        removedMachines.recordExpired(machine(MACHINE_COUNT), epoch = 1)
        assertEquals(1, removedMachines.size)
        assertTrue(removedMachines.isRemoved(machine(MACHINE_COUNT)))
    }

    private companion object {
        const val MACHINE_COUNT = 20_000
    }
}
