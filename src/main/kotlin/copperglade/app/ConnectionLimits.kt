package copperglade.app

import copperglade.settings.InvalidSettingException

/**
 * The limits of the process's connections, by who is at the other end. The remaining file descriptors are for files, the state service
 * and the cloud. The limits hold for a single remaining controller too, which has all workers on both sides.
 *
 * @property inboundClients users and workers that call us.
 * @property inboundPeers other controllers that call us.
 * @property outboundWorkers workers that we call.
 */
internal class ConnectionLimits private constructor(val inboundClients: Int, val inboundPeers: Int, val outboundWorkers: Int) {
    companion object {
        private const val INBOUND_CLIENTS_PERCENT = 52
        private const val INBOUND_PEERS_PERCENT = 4
        private const val OUTBOUND_WORKERS_PERCENT = 34

        /**
         * The limits that follow from [fileDescriptorLimit] file descriptors; throws [InvalidSettingException] where they leave no connection for
         * each of [peerCount] other controllers.
         */
        fun of(fileDescriptorLimit: Int, peerCount: Int): ConnectionLimits {
            val limits = ConnectionLimits(
                fileDescriptorLimit * INBOUND_CLIENTS_PERCENT / 100,
                fileDescriptorLimit * INBOUND_PEERS_PERCENT / 100,
                fileDescriptorLimit * OUTBOUND_WORKERS_PERCENT / 100,
            )
            if (limits.inboundPeers < maxOf(peerCount, 1)) {
                throw InvalidSettingException(
                    "deployment.resources.fd_limit: $fileDescriptorLimit leaves no connection for each of $peerCount other controllers",
                )
            }
            return limits
        }
    }
}
