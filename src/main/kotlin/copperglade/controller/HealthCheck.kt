package copperglade.controller

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.PeerStatusTable
import copperglade.protocol.secondsSince
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.transport.EventLoop

/** Decides whether the load balancer should send user requests to this controller. */
internal class HealthCheck(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val types: MachineTypeCatalog,
    private val peerStatuses: PeerStatusTable,
) {
    /**
     * Returns whether this controller should receive user requests. A controller that is the only one without the state service should
     * receive none. If no controller reaches the state service, no other controller would serve users better, and the load balancer would
     * only be slow to return to this one. A controller that reaches neither the state service nor any other controller is probably
     * isolated: its users would get no answer for as long as the isolation lasts.
     */
    fun isHealthy(): Boolean {
        val secondsSinceStateAnswer = loop.now().secondsSince(store.lastAnswerAt)
        val peersReachStateService = peerStatuses.peersReachStateService()
        val isolated = peerStatuses.allPeersUnreachable() && secondsSinceStateAnswer >= ISOLATED_AFTER_SECONDS
        val reachesStateService = secondsSinceStateAnswer * MILLIS_PER_SECOND < PeerStatusTable.STATE_SERVICE_UNREACHABLE_AFTER_MILLIS
        return replica.state == ReplicaState.CURRENT && types.isLoaded && (reachesStateService || !(peersReachStateService || isolated))
    }

    private companion object {
        const val ISOLATED_AFTER_SECONDS = 10.0
        const val MILLIS_PER_SECOND = 1000
    }
}
