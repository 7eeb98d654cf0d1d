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
    fun `the budget is the machine's memory less the memory outside the heap`(memoryMb: Double?, expectedMib: Long) {
        assertEquals(expectedMib * MIB, HeapBudget.bytes(memoryMb, FakeHeap(4096 * MIB, 0)))
    }

    @ParameterizedTest
    @CsvSource("40, 1", "90, 1", "108, 2")
    fun `garbage is collected before the heap exceeds its budget, and rarely while live data alone exceeds the threshold`(
        liveMib: Long,
        collections: Int,
    ) {
        val sim = Simulation(1)
        val heap = FakeHeap(4096 * MIB, liveMib * MIB)
        HeapMonitor(SimLoop(sim), heap, 112 * MIB).start()
        sim.run(1_000.0)
        val collectionsAtStart = heap.collections
        heap.usedBytes = 111 * MIB
        sim.run(40_000.0)
        // Live data of 108 MiB exceed the threshold from the start: one collection at once, another after the longer interval.
        assertEquals(collections, heap.collections)
        assertEquals(if (liveMib > 104) 1 else 0, collectionsAtStart)
    }

    private companion object {
        const val MIB = 1024L * 1024
    }
}
