package copperglade.app

import copperglade.sim.SimLoop
import copperglade.sim.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class HeapBudgetTest {
    private class FakeHeap(override val maxBytes: Long, var liveBytes: Long) : Heap {
        override var usedBytes = liveBytes
        var collections = 0

        override fun collectGarbage() {
            collections++
            usedBytes = liveBytes
        }
    }

    @ParameterizedTest
    @CsvSource("210, 112", "268, 170", "455, 357", "2408, 2310", "8000, 4096", ", 4096", "100, 64")
    fun `the heap may take what the machine has beside everything else`(memoryMb: Double?, expectedMib: Long) {
        assertEquals(expectedMib * MIB, HeapBudget.bytes(memoryMb, FakeHeap(4096 * MIB, 0)))
    }

    @ParameterizedTest
    @CsvSource("40, 1", "90, 1", "108, 2")
    fun `garbage is collected before the budget is used up, and no more often where all of it is needed`(liveMib: Long, collections: Int) {
        val sim = Simulation(1)
        val heap = FakeHeap(4096 * MIB, liveMib * MIB)
        HeapMonitor(SimLoop(sim), heap, 112 * MIB).start()
        sim.run(1_000.0)
        val before = heap.collections
        heap.usedBytes = 111 * MIB
        sim.run(40_000.0)
        // Live data of 108 MiB are over the limit from the start: one collection at once, one more after the long rest.
        assertEquals(collections, heap.collections)
        assertEquals(if (liveMib > 104) 1 else 0, before)
    }

    private companion object {
        const val MIB = 1024L * 1024
    }
}
