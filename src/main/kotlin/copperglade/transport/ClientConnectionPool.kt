package copperglade.transport

import copperglade.protocol.Endpoint

/** The idle connections of [NettyHttpClient], by endpoint and by how long they have been idle. */
internal class ClientConnectionPool {
    private val byEndpoint = HashMap<Endpoint, ArrayDeque<ClientConnection>>()
    private val byIdleTime = IdleConnections<ClientConnection>()

    /** Keeps [connection] for reuse, and closes those that have been idle for too long. */
    fun add(connection: ClientConnection) {
        byEndpoint.getOrPut(connection.endpoint) { ArrayDeque() }.addLast(connection)
        byIdleTime.add(connection)
        // Machines come and go by the hundred, and one without power never closes its connection.
        while (true) closeNow(byIdleTime.longestIdle(MAX_IDLE_NANOS) ?: break)
    }

    fun remove(connection: ClientConnection) {
        byIdleTime.remove(connection)
        val connections = byEndpoint[connection.endpoint] ?: return
        connections.remove(connection)
        if (connections.isEmpty()) byEndpoint.remove(connection.endpoint)
    }

    /** Takes an open connection to [endpoint] out of the pool, the latest used; null where there is none. */
    fun take(endpoint: Endpoint): ClientConnection? {
        while (true) {
            val connection = byEndpoint[endpoint]?.lastOrNull() ?: return null
            remove(connection)
            if (connection.isOpen) return connection
        }
    }

    /** Closes the connection that has been idle for longest, except to [exceptTo]; false where there is none. */
    fun closeLongestIdle(exceptTo: Set<Endpoint>): Boolean {
        closeNow(byIdleTime.longestIdle { it.endpoint !in exceptTo } ?: return false)
        return true
    }

    private fun closeNow(connection: ClientConnection) {
        remove(connection)
        connection.close()
    }

    private companion object {
        const val MAX_IDLE_NANOS = 60_000_000_000L
    }
}
