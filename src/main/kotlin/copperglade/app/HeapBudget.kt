package copperglade.app

/**
 * How much of the heap may be used on this machine. One start command serves machines of every size, so its `-Xmx` fits the largest fleet;
 * what the heap may really take follows from the machine's memory in the settings. By default, the collector would let garbage grow up
 * to `-Xmx` before it collects the old generation.
 */
internal object HeapBudget {
    private const val BYTES_PER_MIB = 1024L * 1024

    /** Memory outside the heap: classes and compiled code up to their limits in the start command, stacks, buffers, the JVM itself. */
    private const val NON_HEAP_MIB = 98

    /** Less can't hold a controller of any fleet. */
    private const val MIN_BUDGET_MIB = 64L

    /** The bytes that the heap may take of a machine with [memoryMb]; null: the settings don't say. */
    fun bytes(memoryMb: Double?, heap: Heap): Long {
        if (memoryMb == null) return heap.maxBytes
        return minOf(heap.maxBytes, maxOf(MIN_BUDGET_MIB, memoryMb.toLong() - NON_HEAP_MIB) * BYTES_PER_MIB)
    }
}
