package copperglade.controller

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.PeerStatusTable
import copperglade.protocol.secondsSince
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.transport.EventLoop

/** Whether the load balancer should send users to this controller. */
internal class HealthCheck(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val types: MachineTypeCatalog,
    private val peerStatuses: PeerStatusTable,
) {
    /**
     * A controller that alone has lost the state service should get no users; if all have lost it, none of the others would serve
     * them better, and the balancer would only be slow to come back. One that hears neither the service nor any other controller is
     * probably alone: users who stayed with it would get no answer for as long as that lasts.
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
