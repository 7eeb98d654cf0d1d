package copperglade.app

import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The heap as the virtual machine has it. */
interface Heap {
    /** Bytes that objects take, garbage among them. */
    val usedBytes: Long

    /** The most that the start command allows. */
    val maxBytes: Long

    fun collect()
}

/** The heap of this process. */
object ProcessHeap : Heap {
    override val usedBytes: Long get() = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    override val maxBytes: Long get() = Runtime.getRuntime().maxMemory()

    override fun collect() = System.gc()
}

/**
 * How much of the heap may be used on this machine. One start command serves machines of every size, so its `-Xmx` fits the largest fleet; what
 * the heap may really take follows from the machine's memory in the settings. Left to itself, the collector would let garbage
 * grow up to `-Xmx` before it looks at the old generation.
 */
object HeapBudget {
    private const val MIB = 1024L * 1024

    /** Beside the heap: classes and compiled code up to their limits in the start command, stacks, buffers, the virtual machine itself. */
    private const val BESIDE_HEAP_MIB = 98

    /** Less than that can't hold a controller of any fleet. */
    private const val SMALLEST_MIB = 64L

    /** The bytes that the heap may take of a machine with [memoryMb]; null: the settings don't say. */
    fun bytes(memoryMb: Double?, heap: Heap): Long {
        if (memoryMb == null) return heap.maxBytes
        return minOf(heap.maxBytes, maxOf(SMALLEST_MIB, memoryMb.toLong() - BESIDE_HEAP_MIB) * MIB)
    }
}

/** Collects garbage before the heap outgrows its budget. */
class HeapMonitor(private val loop: EventLoop, private val heap: Heap, private val budgetBytes: Long) {
    private val limitBytes = (budgetBytes * PART).toLong()

    fun start() = loop.scheduleRepeating({ LOOK_INTERVAL }, ::look)

    private var collectedAt = loop.now() - REST
    private var rest = REST

    private fun look() {
        if (heap.usedBytes < limitBytes || loop.now() < collectedAt + rest) return
        heap.collect()
        collectedAt = loop.now()
        val livesTooLarge = heap.usedBytes >= limitBytes
        // Collecting again and again frees nothing where all of it is needed.
        rest = if (livesTooLarge) LONG_REST else REST
        if (livesTooLarge) log.warn("heap_used={} heap_budget={}: the live data outgrow this machine", heap.usedBytes, budgetBytes)
    }

    private companion object {
        const val PART = 0.93
        val LOOK_INTERVAL = 250.milliseconds
        val REST = 2.seconds
        val LONG_REST = 30.seconds
        val log = LoggerFactory.getLogger("heap")
    }
}
