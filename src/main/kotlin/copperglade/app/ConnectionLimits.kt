package copperglade.app

import copperglade.settings.InvalidSettingException

/**
 * The connection limits of the process, by the kind of remote process. The remaining file descriptors are for files, the state service
 * and the cloud. The limits also suffice for a single remaining controller, which has connections from and to all workers.
 *
 * @property inboundClients the limit of connections from users and workers.
 * @property inboundPeers the limit of connections from other controllers.
 * @property outboundWorkers the limit of connections to workers.
 */
internal class ConnectionLimits private constructor(val inboundClients: Int, val inboundPeers: Int, val outboundWorkers: Int) {
    companion object {
        private const val INBOUND_CLIENTS_PERCENT = 52
        private const val INBOUND_PEERS_PERCENT = 4
        private const val OUTBOUND_WORKERS_PERCENT = 34

        /**
         * Returns the limits for a process with [fileDescriptorLimit] file descriptors; throws [InvalidSettingException] where the limits
         * leave no connection for each of [peerCount] other controllers.
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
