package copperglade.app

/**
 * The part of the maximum heap size that may be used on this machine. Machines of all sizes have the same start command, so its `-Xmx`
 * fits the largest fleet; the budget is derived from the machine's memory in the settings. Without a budget, the collector would let
 * garbage grow up to `-Xmx` before it collects the old generation.
 */
internal object HeapBudget {
    private const val BYTES_PER_MIB = 1024L * 1024

    /**
     * Memory outside the heap: classes and compiled code up to their limits in the start command, thread stacks, buffers and the JVM
     * itself.
     */
    private const val NON_HEAP_MIB = 98

    /** A smaller heap is too small for a controller, whatever the size of its fleet. */
    private const val MIN_BUDGET_MIB = 64L

    /** The heap budget in bytes on a machine with [memoryMb]; the maximum heap size where [memoryMb] is null. */
    fun bytes(memoryMb: Double?, heap: Heap): Long {
        if (memoryMb == null) return heap.maxBytes
        return minOf(heap.maxBytes, maxOf(MIN_BUDGET_MIB, memoryMb.toLong() - NON_HEAP_MIB) * BYTES_PER_MIB)
    }
}
