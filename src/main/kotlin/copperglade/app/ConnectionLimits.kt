package copperglade.app

import copperglade.settings.InvalidSettingException

/**
 * The limits of the process's connections, by who is at the other end. The remaining file descriptors are for files, the state service
 * and the cloud. The limits hold for a single remaining controller too, which has all workers on both sides.
 *
 * @property users users and workers that call us.
 * @property peers other controllers that call us.
 * @property workers workers that we call.
 */
internal class ConnectionLimits private constructor(val users: Int, val peers: Int, val workers: Int) {
    companion object {
        private const val USERS_PERCENT = 52
        private const val PEERS_PERCENT = 4
        private const val WORKERS_PERCENT = 34

        /**
         * The limits that follow from [limit] file descriptors; throws [InvalidSettingException] where they leave no connection for
         * each of [peers] other controllers.
         */
        fun of(limit: Int, peers: Int): ConnectionLimits {
            val limits = ConnectionLimits(limit * USERS_PERCENT / 100, limit * PEERS_PERCENT / 100, limit * WORKERS_PERCENT / 100)
            if (limits.peers < maxOf(peers, 1)) {
                throw InvalidSettingException(
                    "deployment.resources.fd_limit: $limit leaves no connection for each of $peers other controllers",
                )
            }
            return limits
        }
    }
}
