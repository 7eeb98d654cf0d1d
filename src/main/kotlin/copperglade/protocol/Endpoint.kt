package copperglade.protocol

/** A network address: host and port. */
data class Endpoint(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        private val PORTS = 1..65535

        /** The endpoint, or null where [text] isn't of the form `host:port`. */
        fun parse(text: String): Endpoint? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in PORTS) Endpoint(text.substring(0, colon), port) else null
        }
    }
}
