package copperglade.app

import copperglade.controller.Controller
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.transport.NettyEventLoop
import copperglade.transport.NettyHttpClient
import copperglade.transport.NettyHttpServer
import kotlin.time.Duration

/** Starts a controller in this process, with its event loop, its HTTP client and its two HTTP servers. */
internal object ControllerLauncher {
    /**
     * A controller's status message describes each of its machines in about 150 bytes, so the limit of 64 KiB in the protocol with users
     * and workers would be too low.
     */
    const val MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024

    /** Starts the controller and returns; the controller runs on its event loop. Throws where its addresses can't be bound. */
    fun start(settings: PlatformSettings, operatorSettings: OperatorSettings) {
        val limits = ConnectionLimits.of(settings.fileDescriptorLimit, settings.peers.size)
        val loop = NettyEventLoop()
        val heapBytes = HeapBudget.bytes(settings.memoryMb, ProcessHeap)
        val unlimitedEndpoints = settings.peers.mapTo(hashSetOf(settings.state, settings.cloud)) { it.endpoint }
        val client = NettyHttpClient(loop, heapBytes, limits.outboundWorkers, unlimitedEndpoints)
        val controller = Controller(loop, client, settings, operatorSettings, heapBytes)
        NettyHttpServer(loop, limits.inboundClients, handler = controller.clientHandler).listen(settings.clientListen)
        NettyHttpServer(loop, limits.inboundPeers, MAX_PEER_MESSAGE_BYTES, controller.clusterHandler).listen(settings.clusterListen)
        loop.after(Duration.ZERO) {
            controller.start()
            HeapMonitor(loop, ProcessHeap, heapBytes).start()
        }
    }
}
