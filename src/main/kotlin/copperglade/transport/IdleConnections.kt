package copperglade.transport

/** Connections that nothing goes over at present, longest idle first. */
internal class IdleConnections<T : Any> {
    /** By connection, the [System.nanoTime] from which it has been idle. */
    private val idleSinceNanos = LinkedHashMap<T, Long>()

    /** [connection] is idle from now on. */
    fun add(connection: T) {
        idleSinceNanos.remove(connection)
        idleSinceNanos[connection] = System.nanoTime()
    }

    /** [connection] is in use, or closed. */
    fun remove(connection: T) {
        idleSinceNanos.remove(connection)
    }

    /** The longest idle of those that [accept] allows, where it has been idle for at least [minIdleNanos]. */
    fun longestIdle(minIdleNanos: Long = 0, accept: (T) -> Boolean = { true }): T? {
        val (connection, connectionIdleSinceNanos) = idleSinceNanos.entries.firstOrNull { accept(it.key) } ?: return null
        return connection.takeIf { System.nanoTime() - connectionIdleSinceNanos >= minIdleNanos }
    }
}
