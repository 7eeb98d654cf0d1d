package copperglade.ownership

import copperglade.protocol.MonotonicTime
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Releases all shards when this controller reaches none of their workers, although the state service answers it: its session lease
 * would otherwise keep the shards from other controllers until the leases of all their workers had expired. The shards are released
 * while those worker leases are still valid.
 */
class UnreachableWorkerWatch(
    private val loop: EventLoop,
    private val store: StateClient,
    private val owned: OwnedShards,
    private val ownership: ShardOwnership,
) {
    private var checkedAt = MonotonicTime.NEVER
    private var consecutiveChecks = 0

    fun start() = loop.scheduleRepeating({ CHECK_INTERVAL }, ::check)

    private fun check() {
        val now = loop.now()
        // After a pause of this process every worker seems unreachable until the heartbeats that arrived meanwhile are read.
        val onTime = now < checkedAt + CHECK_INTERVAL * 2
        checkedAt = now
        val shards = owned.open
        val machines = shards.sumOf { it.machines.size }
        val unreachable = machines >= MIN_MACHINES && shards.sumOf { it.unreachableMachineCount(now) } == machines && !store.isUnreachable()
        consecutiveChecks = if (unreachable && onTime) consecutiveChecks + 1 else 0
        if (consecutiveChecks < CHECKS_TO_RELEASE) return
        consecutiveChecks = 0
        log.warn("shards_released reason=no_worker_reachable machines={}", machines)
        ownership.releaseUnreachable(shards.map { it.name })
    }

    private companion object {
        val CHECK_INTERVAL = 250.milliseconds
        const val CHECKS_TO_RELEASE = 2

        /** Fewer machines may well fail at the same time without the controller being the cause. */
        const val MIN_MACHINES = 3
        val log = LoggerFactory.getLogger("ownership")
    }
}
