package copperglade.transport

/** Open connections without a request in flight, longest idle first. */
internal class IdleConnections<T : Any> {
    /** For each connection, the [System.nanoTime] since which the connection has been idle. */
    private val idleSinceNanos = LinkedHashMap<T, Long>()

    /** Adds [connection], which is idle from now on. */
    fun add(connection: T) {
        idleSinceNanos.remove(connection)
        idleSinceNanos[connection] = System.nanoTime()
    }

    /** Removes [connection], which is in use or closed. */
    fun remove(connection: T) {
        idleSinceNanos.remove(connection)
    }

    /** The longest idle connection for which [accept] is true; null where there is none or its idle time is below [minIdleNanos]. */
    fun longestIdle(minIdleNanos: Long = 0, accept: (T) -> Boolean = { true }): T? {
        val (connection, connectionIdleSinceNanos) = idleSinceNanos.entries.firstOrNull { accept(it.key) } ?: return null
        return connection.takeIf { System.nanoTime() - connectionIdleSinceNanos >= minIdleNanos }
    }
}
