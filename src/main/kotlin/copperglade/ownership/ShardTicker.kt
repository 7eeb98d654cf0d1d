package copperglade.ownership

import copperglade.observability.EventLoopMetrics
import copperglade.transport.EventLoop
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Calls [ShardOwner.tick] for all owned shards, several times a second. */
class ShardTicker(
    private val loop: EventLoop,
    private val owned: OwnedShards,
    private val metrics: EventLoopMetrics,
) {
    fun start() = loop.scheduleRepeating({ TICK_INTERVAL + TICK_INTERVAL_PER_MACHINE * owned.machineCount }) {
        metrics.measure("shards") { tick() }
    }

    private fun tick() {
        owned.all.toList().forEach { it.tick() }
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds

        /** A longer interval with more machines batches more work per tick, which bounds the CPU time that ticks take. */
        val TICK_INTERVAL_PER_MACHINE = 400.microseconds
    }
}
