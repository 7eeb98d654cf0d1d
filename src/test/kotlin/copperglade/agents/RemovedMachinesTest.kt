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
    private val removed = RemovedMachines(SimLoop(sim))

    private fun machine(number: Int) = MachineName("i-$number")

    private fun heartbeat(number: Int, epoch: Long) =
        Heartbeat(machine(number), Endpoint("10.0.0.1", 1), "box", "north", false, epoch, 1, FencingToken(1), null, emptyList())

    @Test
    fun `a fleet lost at once is remembered whole for as long as late copies may come`() {
        repeat(MACHINES) { removed.recordExpired(machine(it), epoch = 3) }
        sim.run(50 * 60_000.0)
        removed.recordDeleted(machine(MACHINES))
        repeat(MACHINES) { number ->
            assertTrue(removed.predatesRemoval(heartbeat(number, epoch = 3)))
            assertFalse(removed.predatesRemoval(heartbeat(number, epoch = 4)))
        }
    }

    @Test
    fun `what was removed long ago takes no memory`() {
        repeat(MACHINES) { removed.recordDeleted(machine(it)) }
        sim.run(61 * 60_000.0)
        removed.recordExpired(machine(MACHINES), epoch = 1)
        assertEquals(1, removed.size)
        assertTrue(removed.isRemoved(machine(MACHINES)))
    }

    private companion object {
        const val MACHINES = 20_000
    }
}
