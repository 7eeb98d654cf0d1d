package copperglade.transport

import copperglade.protocol.Endpoint

/** The idle connections of [NettyHttpClient], indexed by endpoint and by idle time. */
internal class ClientConnectionPool {
    private val byEndpoint = HashMap<Endpoint, ArrayDeque<ClientConnection>>()
    private val byIdleTime = IdleConnections<ClientConnection>()

    /** Keeps [connection] for reuse, and closes the connections that have been idle for [MAX_IDLE_NANOS] or more. */
    fun add(connection: ClientConnection) {
        byEndpoint.getOrPut(connection.endpoint) { ArrayDeque() }.addLast(connection)
        byIdleTime.add(connection)
        // Hundreds of machines are started and terminated, and a machine that loses power never closes its connections.
        while (true) closeNow(byIdleTime.longestIdle(MAX_IDLE_NANOS) ?: break)
    }

    fun remove(connection: ClientConnection) {
        byIdleTime.remove(connection)
        val connections = byEndpoint[connection.endpoint] ?: return
        connections.remove(connection)
        if (connections.isEmpty()) byEndpoint.remove(connection.endpoint)
    }

    /** Removes and returns the most recently used open connection to [endpoint], or null where the pool has none. */
    fun take(endpoint: Endpoint): ClientConnection? {
        while (true) {
            val connection = byEndpoint[endpoint]?.lastOrNull() ?: return null
            remove(connection)
            if (connection.isOpen) return connection
        }
    }

    /** Closes the connection that has been idle for longest, except those to [exceptTo]; returns false where there is none to close. */
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
