package copperglade.transport

/** Connections that nothing goes over at present, longest idle first. */
internal class IdleConnections<T : Any> {
    private val since = LinkedHashMap<T, Long>()

    /** [connection] has nothing to do from now on. */
    fun add(connection: T) {
        since.remove(connection)
        since[connection] = System.nanoTime()
    }

    fun remove(connection: T) {
        since.remove(connection)
    }

    /** The one that has been idle for longest among those that [accepted] says, and for at least [nanos]. */
    fun longest(nanos: Long = 0, accepted: (T) -> Boolean = { true }): T? {
        val (connection, began) = since.entries.firstOrNull { accepted(it.key) } ?: return null
        return connection.takeIf { System.nanoTime() - began >= nanos }
    }
}
