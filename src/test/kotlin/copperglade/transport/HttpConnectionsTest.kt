package copperglade.transport

import copperglade.app.ControllerLauncher
import copperglade.app.ProcessHeap
import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Returns [number] endpoints with free ports. All sockets stay open until the last port is chosen, since the system may assign a port
 * again once its socket is closed.
 */
internal fun freeEndpoints(number: Int): List<Endpoint> =
    List(number) { ServerSocket(0) }.onEach { it.close() }.map { Endpoint("127.0.0.1", it.localPort) }

internal fun freeEndpoint(): Endpoint = freeEndpoints(1).single()

/**
 * Connection limits over loopback sockets. They guard against connections from and to the workers of a large fleet using up the file
 * descriptors that the rest of the process needs.
 */
class HttpConnectionsTest {
    @Test
    fun `requests to more servers than the connection limit are all answered within the limit`() {
        val loop = NettyEventLoop()
        val limit = 4
        val client = NettyHttpClient(loop, ProcessHeap.maxBytes, limit)
        val servers = freeEndpoints(20)
        val answered = AtomicInteger()
        val allReplied = CountDownLatch(2 * servers.size)
        servers.forEach { NettyHttpServer(loop, 10) { _, responder -> responder.send(Reply(200)) }.listen(it) }
        repeat(2) {
            loop.after(0.seconds) {
                servers.forEach { to ->
                    client.call(to, Request(Method.GET, "/"), 10.seconds) { reply ->
                        if (reply?.status == 200) answered.incrementAndGet()
                        assertTrue(client.connectionCount <= limit)
                        allReplied.countDown()
                    }
                }
            }
        }
        assertTrue(allReplied.await(20, TimeUnit.SECONDS))
        assertEquals(2 * servers.size, answered.get())
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `a connection beyond the server's limit is answered with 503`() {
        val loop = NettyEventLoop()
        val endpoint = freeEndpoint()
        val openRequests = ArrayList<Responder>()
        val server = NettyHttpServer(loop, 10) { _, responder -> openRequests += responder }
        server.listen(endpoint)
        val client = NettyHttpClient(loop, ProcessHeap.maxBytes)
        val statuses = ArrayList<Int?>()
        val allAnswered = CountDownLatch(11)
        loop.after(0.seconds) {
            repeat(11) {
                client.call(endpoint, Request(Method.GET, "/"), 10.seconds) { reply ->
                    statuses += reply?.status
                    if (reply?.status == 503) openRequests.forEach { it.send(Reply(200)) }
                    allAnswered.countDown()
                }
            }
        }
        assertTrue(allAnswered.await(20, TimeUnit.SECONDS))
        assertEquals(mapOf<Int?, Int>(503 to 1, 200 to 10), statuses.groupingBy { it }.eachCount())
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `more clients than the connection limit take turns, and each is served eventually`() {
        val loop = NettyEventLoop()
        val endpoint = freeEndpoint()
        NettyHttpServer(loop, CONNECTION_LIMIT) { _, responder -> responder.send(Reply(200)) }.listen(endpoint)
        val clients = List(CLIENT_COUNT) { NettyHttpClient(loop, ProcessHeap.maxBytes) }
        val requests = CLIENT_COUNT * REQUESTS_PER_CLIENT
        val answered = CountDownLatch(requests)

        fun sendRequests(client: NettyHttpClient, remaining: Int) {
            if (remaining == 0) return
            client.call(endpoint, Request(Method.GET, "/"), 2.seconds) { reply ->
                val isAnswered = reply?.status == 200
                if (isAnswered) answered.countDown()
                loop.after(
                    if (isAnswered) 1.seconds else 100.milliseconds,
                ) { sendRequests(client, if (isAnswered) remaining - 1 else remaining) }
            }
        }
        loop.after(0.seconds) { clients.forEach { sendRequests(it, REQUESTS_PER_CLIENT) } }
        assertTrue(answered.await(20, TimeUnit.SECONDS), "${answered.count} of $requests requests were not served")
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `a status message with 4000 machines is accepted from peers and refused from users`() {
        val loop = NettyEventLoop()
        val (peers, users) = freeEndpoints(2)
        val status = PeerMessageCodec.encodeStatus(statusOf(machines = 4000))
        assertTrue(status.size > NettyHttpServer.MAX_PROTOCOL_BODY_BYTES)
        val received = ArrayList<PeerStatus?>()
        NettyHttpServer(loop, CONNECTION_LIMIT, ControllerLauncher.MAX_PEER_MESSAGE_BYTES) { request, responder ->
            received += PeerMessageCodec.decodeStatus(request.body)
            responder.send(Reply(200))
        }.listen(peers)
        NettyHttpServer(loop, CONNECTION_LIMIT) { _, responder -> responder.send(Reply(200)) }.listen(users)
        val client = NettyHttpClient(loop, ProcessHeap.maxBytes)
        val statuses = HashMap<Endpoint, Int?>()
        val bothReplied = CountDownLatch(2)
        loop.after(0.seconds) {
            for (to in listOf(peers, users)) {
                client.call(to, Request(Method.POST, PeerMessageCodec.STATUS_PATH, status), 5.seconds) { reply ->
                    statuses[to] = reply?.status
                    bothReplied.countDown()
                }
            }
        }
        assertTrue(bothReplied.await(20, TimeUnit.SECONDS))
        assertEquals(200, statuses[peers])
        assertEquals(
            4000,
            received
                .single()!!
                .shards
                .single()
                .machines.size,
        )
        assertNotEquals(200, statuses[users], "a body over the protocol's limit was accepted")
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun statusOf(machines: Int): PeerStatus {
        val machineAvailabilities = List(machines) { number ->
            MachineAvailability(
                MachineName("i-%06d".format(number)),
                "type",
                "zone",
                spot = false,
                usable = true,
                onTrial = false,
                worthKeeping = true,
                idleMillis = 0,
                free = Resources(1.0, 0.0, 2.0),
                preemptible = List(4) { Resources(1.0, 0.0, 1.0) },
                images = listOf(ImageName("img-1"), ImageName("img-2")),
            )
        }
        val shard = ShardCapacity(ShardName("zone.0"), FencingToken(7), machineAvailabilities)
        return PeerStatus(MemberId("one"), Incarnation(1), Revision(1), 0, false, listOf(shard), emptyList(), emptyList(), 0.0)
    }

    private companion object {
        const val CONNECTION_LIMIT = 4
        const val CLIENT_COUNT = 10
        const val REQUESTS_PER_CLIENT = 3
    }
}
