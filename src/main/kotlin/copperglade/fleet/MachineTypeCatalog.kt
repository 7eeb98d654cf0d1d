package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.MachineType
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration.Companion.seconds

/** The cloud's machine types, refreshed at regular intervals since their prices change. */
class MachineTypeCatalog(private val loop: EventLoop, private val http: HttpClient, private val cloud: Endpoint) {
    private var types: Map<String, MachineType> = emptyMap()

    /** Whether the types have been read at least once. */
    val isLoaded: Boolean get() = types.isNotEmpty()
    val all: Collection<MachineType> get() = types.values

    operator fun get(name: String): MachineType? = types[name]

    /** Reads the types now, and from then on at regular intervals. Must be called once only. */
    fun start() {
        http.call(cloud, Request(Method.GET, "/machine_types"), REQUEST_TIMEOUT, ::onReply)
    }

    private fun onReply(reply: Reply?) {
        val received = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeMachineTypes(Json.read(it.body)) }
        if (!received.isNullOrEmpty()) types = received.associateBy { it.name }
        loop.after(if (received.isNullOrEmpty()) RETRY_DELAY else REFRESH_INTERVAL) { start() }
    }

    private companion object {
        val REQUEST_TIMEOUT = 3.seconds
        val RETRY_DELAY = 1.seconds
        val REFRESH_INTERVAL = 60.seconds
    }
}
