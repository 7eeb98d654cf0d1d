package copperglade.controller

import copperglade.membership.Leadership
import copperglade.membership.PeerStatusTable
import copperglade.settings.PlatformSettings
import copperglade.storage.BudgetShare
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop

/**
 * Computes this controller's shares of the request budgets of the state service and the cloud, which all controllers share. Each
 * controller computes its own shares from the members in its replica and their latest statuses.
 */
internal class BudgetAllocator(
    private val loop: EventLoop,
    private val settings: PlatformSettings,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val peerStatuses: PeerStatusTable,
    private val cloudBudget: TokenBucket,
) {
    /** Sets the shares so that all controllers together stay within the budgets; a controller with more to write gets a larger share. */
    fun allocate() {
        val others = replica.members.keys - settings.member
        val othersDesiredWritesPerSecond = others.map { peerStatuses.statusOf(it)?.desiredWritesPerSecond }
        // The leader creates and lists machines, the other controllers only delete idle ones.
        val cloudShare = if (leadership.leading) LEADER_SHARE_OF_CLOUD else (1.0 - LEADER_SHARE_OF_CLOUD) / others.size.coerceAtLeast(1)
        cloudBudget.setRate(settings.cloudRequestsPerSecond * CLOUD_BUDGET_FRACTION * cloudShare, loop.now())
        val writeShare = BudgetShare.of(store.desiredWritesPerSecond, othersDesiredWritesPerSecond, settings.stateWritesPerSecond)
        store.setShares(STATE_BUDGET_FRACTION / (others.size + 1), STATE_BUDGET_FRACTION * writeShare)
    }

    companion object {
        private const val STATE_BUDGET_FRACTION = 0.9
        private const val CLOUD_BUDGET_FRACTION = 0.9
        private const val LEADER_SHARE_OF_CLOUD = 0.6

        /** The share of the state service's budgets until the members have been read, as if all [controllers] were members. */
        fun initialStateShare(controllers: Int): Double = STATE_BUDGET_FRACTION / controllers

        /** Requests per second to the cloud until the members have been read, as if all [controllers] were members. */
        fun initialCloudRate(cloudRequestsPerSecond: Double, controllers: Int): Double =
            cloudRequestsPerSecond * CLOUD_BUDGET_FRACTION / controllers
    }
}
