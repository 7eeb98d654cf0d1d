package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.MachineType
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration.Companion.seconds

/** The cloud's machine types. Prices move, so they are read again now and then. */
class MachineTypeCatalog(private val loop: EventLoop, private val http: HttpClient, private val cloud: Endpoint) {
    private var types: Map<String, MachineType> = emptyMap()

    val isLoaded: Boolean get() = types.isNotEmpty()
    val all: Collection<MachineType> get() = types.values

    operator fun get(name: String): MachineType? = types[name]

    fun start() {
        http.call(cloud, Request(Method.GET, "/machine_types"), TIMEOUT) { reply ->
            val read = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeMachineTypes(Json.read(it.body)) }
            if (!read.isNullOrEmpty()) types = read.associateBy { it.name }
            loop.after(if (read.isNullOrEmpty()) RETRY else REFRESH) { start() }
        }
    }

    private companion object {
        val TIMEOUT = 3.seconds
        val RETRY = 1.seconds
        val REFRESH = 60.seconds
    }
}
