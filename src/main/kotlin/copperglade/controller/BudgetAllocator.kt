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
 * This controller's shares of the budgets that all controllers have together with the state service and the cloud. Each computes its
 * own from the members that it knows and their latest statuses.
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
    /** All controllers together stay within the budgets; a controller with more to write gets a larger share. */
    fun allocate() {
        val others = replica.members.keys - settings.member
        val othersDesiredWritesPerSecond = others.map { peerStatuses.statusOf(it)?.desiredWritesPerSecond }
        // The leader scales out and lists machines, the others only delete idle ones.
        val cloudShare = if (leadership.leading) LEADER_SHARE_OF_CLOUD else (1.0 - LEADER_SHARE_OF_CLOUD) / others.size.coerceAtLeast(1)
        cloudBudget.setRate(settings.cloudRequestsPerSecond * CLOUD_BUDGET_FRACTION * cloudShare, loop.now())
        val writeShare = BudgetShare.of(store.desiredWritesPerSecond, othersDesiredWritesPerSecond, settings.stateWritesPerSecond)
        store.setShares(STATE_BUDGET_FRACTION / (others.size + 1), STATE_BUDGET_FRACTION * writeShare)
    }

    companion object {
        private const val STATE_BUDGET_FRACTION = 0.9
        private const val CLOUD_BUDGET_FRACTION = 0.9
        private const val LEADER_SHARE_OF_CLOUD = 0.6

        /** The share of the state service's budgets until the members are known: what would be left if all [controllers] lived. */
        fun initialStateShare(controllers: Int): Double = STATE_BUDGET_FRACTION / controllers

        /** Requests a second to the cloud until the members are known, as if all [controllers] lived. */
        fun initialCloudRate(cloudRequestsPerSecond: Double, controllers: Int): Double =
            cloudRequestsPerSecond * CLOUD_BUDGET_FRACTION / controllers
    }
}
