package copperglade.controller

import copperglade.jobs.JobFinalizer
import copperglade.membership.Leadership
import copperglade.observability.EventLoopMetrics
import copperglade.scheduling.Scheduler
import copperglade.shards.ShardAssigner
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the leader's decisions in rounds, in a fixed order; on other controllers, a round only allocates the budgets. */
internal class LeaderLoop(
    private val loop: EventLoop,
    private val metrics: EventLoopMetrics,
    private val leadership: Leadership,
    private val shardAssigner: ShardAssigner,
    private val scheduler: Scheduler,
    private val jobFinalizer: JobFinalizer,
    private val budgetAllocator: BudgetAllocator,
) {
    private var lastRoundDuration = Duration.ZERO

    fun start() = loop.scheduleRepeating(::interval) {
        val startedAt = loop.now()
        metrics.measure("round", ::round)
        lastRoundDuration = (loop.now().millis - startedAt.millis).milliseconds
    }

    /** The longer a round takes, the later the next one starts and the more it decides, which leaves event loop time for other work. */
    private fun interval(): Duration =
        if (leadership.leading) MIN_INTERVAL + lastRoundDuration * PAUSE_PER_ROUND_DURATION else FOLLOWER_INTERVAL

    private fun round() {
        if (leadership.leading) {
            shardAssigner.round()
            scheduler.round()
            jobFinalizer.round()
        }
        budgetAllocator.allocate()
    }

    private companion object {
        const val PAUSE_PER_ROUND_DURATION = 3
        val MIN_INTERVAL = 60.milliseconds
        val FOLLOWER_INTERVAL = 250.milliseconds
    }
}
