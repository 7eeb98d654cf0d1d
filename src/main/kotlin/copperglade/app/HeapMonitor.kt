package copperglade.app

import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Triggers a garbage collection before the heap exceeds its budget. */
internal class HeapMonitor(private val loop: EventLoop, private val heap: Heap, private val budgetBytes: Long) {
    private val thresholdBytes = (budgetBytes * COLLECTION_THRESHOLD_SHARE).toLong()
    private var lastCollectionAt = loop.now() - COLLECTION_INTERVAL
    private var collectionInterval = COLLECTION_INTERVAL

    /** Starts the periodic checks of the heap. */
    fun start() = loop.scheduleRepeating({ CHECK_INTERVAL }, ::check)

    private fun check() {
        if (heap.usedBytes < thresholdBytes || loop.now() < lastCollectionAt + collectionInterval) return
        heap.collectGarbage()
        lastCollectionAt = loop.now()
        val isLiveDataOverThreshold = heap.usedBytes >= thresholdBytes
        // Frequent collections free nothing while live data alone exceeds the threshold.
        collectionInterval = if (isLiveDataOverThreshold) COLLECTION_INTERVAL_OVER_THRESHOLD else COLLECTION_INTERVAL
        if (isLiveDataOverThreshold) {
            log.warn("heap_over_budget heap_used_bytes={} heap_budget_bytes={}", heap.usedBytes, budgetBytes)
        }
    }

    private companion object {
        /** The heap use that triggers a collection, as a share of the budget. */
        const val COLLECTION_THRESHOLD_SHARE = 0.93
        val CHECK_INTERVAL = 250.milliseconds
        val COLLECTION_INTERVAL = 2.seconds
        val COLLECTION_INTERVAL_OVER_THRESHOLD = 30.seconds
        val log = LoggerFactory.getLogger("heap")
    }
}
