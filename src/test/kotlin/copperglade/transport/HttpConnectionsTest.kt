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

/** All held until the last is known: a port that is closed again may be given out once more. */
internal fun freeEndpoints(number: Int): List<Endpoint> =
    List(number) { ServerSocket(0) }.onEach { it.close() }.map { Endpoint("127.0.0.1", it.localPort) }

internal fun freeEndpoint(): Endpoint = freeEndpoints(1).single()

/** Real sockets on loopback: a fleet's workers must not take the sockets that everything else needs. */
class HttpConnectionsTest {
    @Test
    fun `more peers than sockets are all answered, and only so many connections stay`() {
        val loop = NettyEventLoop()
        val limit = 4
        val caller = NettyHttpClient(loop, ProcessHeap.maxBytes, limit)
        val places = freeEndpoints(20)
        val answered = AtomicInteger()
        val all = CountDownLatch(2 * places.size)
        places.forEach { NettyHttpServer(loop, 10) { _, responder -> responder.send(Reply(200)) }.listen(it) }
        repeat(2) {
            loop.after(0.seconds) {
                places.forEach { to ->
                    caller.call(to, Request(Method.GET, "/"), 10.seconds) { reply ->
                        if (reply?.status == 200) answered.incrementAndGet()
                        assertTrue(caller.connectionCount <= limit)
                        all.countDown()
                    }
                }
            }
        }
        assertTrue(all.await(20, TimeUnit.SECONDS))
        assertEquals(2 * places.size, answered.get())
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `a connection beyond the server's limit is told to come back later`() {
        val loop = NettyEventLoop()
        val at = freeEndpoint()
        val held = ArrayList<Responder>()
        val server = NettyHttpServer(loop, 10) { _, responder -> held += responder }
        server.listen(at)
        val caller = NettyHttpClient(loop, ProcessHeap.maxBytes)
        val statuses = ArrayList<Int?>()
        val last = CountDownLatch(11)
        loop.after(0.seconds) {
            repeat(11) {
                caller.call(at, Request(Method.GET, "/"), 10.seconds) { reply ->
                    statuses += reply?.status
                    if (reply?.status == 503) held.forEach { it.send(Reply(200)) }
                    last.countDown()
                }
            }
        }
        assertTrue(last.await(20, TimeUnit.SECONDS))
        assertEquals(mapOf<Int?, Int>(503 to 1, 200 to 10), statuses.groupingBy { it }.eachCount())
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `more callers than connections take turns, and none is refused for long`() {
        val loop = NettyEventLoop()
        val at = freeEndpoint()
        NettyHttpServer(loop, CONNECTIONS) { _, responder -> responder.send(Reply(200)) }.listen(at)
        val callers = List(CALLERS) { NettyHttpClient(loop, ProcessHeap.maxBytes) }
        val rounds = CALLERS * ROUNDS
        val answered = CountDownLatch(rounds)

        fun ask(caller: NettyHttpClient, left: Int) {
            if (left == 0) return
            caller.call(at, Request(Method.GET, "/"), 2.seconds) { reply ->
                val served = reply?.status == 200
                if (served) answered.countDown()
                loop.after(if (served) 1.seconds else 100.milliseconds) { ask(caller, if (served) left - 1 else left) }
            }
        }
        loop.after(0.seconds) { callers.forEach { ask(it, ROUNDS) } }
        assertTrue(answered.await(20, TimeUnit.SECONDS), "${answered.count} of $rounds requests were never served")
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `the status of a controller with four thousand machines reaches its peers`() {
        val loop = NettyEventLoop()
        val (peers, users) = freeEndpoints(2)
        val status = PeerMessageCodec.encodeStatus(statusOf(machines = 4000))
        assertTrue(status.size > NettyHttpServer.MAX_PROTOCOL_BODY_BYTES)
        val received = ArrayList<PeerStatus?>()
        NettyHttpServer(loop, CONNECTIONS, ControllerLauncher.MAX_PEER_MESSAGE_BYTES) { request, responder ->
            received += PeerMessageCodec.decodeStatus(request.body)
            responder.send(Reply(200))
        }.listen(peers)
        NettyHttpServer(loop, CONNECTIONS) { _, responder -> responder.send(Reply(200)) }.listen(users)
        val caller = NettyHttpClient(loop, ProcessHeap.maxBytes)
        val statuses = HashMap<Endpoint, Int?>()
        val both = CountDownLatch(2)
        loop.after(0.seconds) {
            for (to in listOf(peers, users)) {
                caller.call(to, Request(Method.POST, PeerMessageCodec.STATUS_PATH, status), 5.seconds) { reply ->
                    statuses[to] = reply?.status
                    both.countDown()
                }
            }
        }
        assertTrue(both.await(20, TimeUnit.SECONDS))
        assertEquals(200, statuses[peers])
        assertEquals(
            4000,
            received
                .single()!!
                .shards
                .single()
                .machines.size,
        )
        assertNotEquals(200, statuses[users], "a body beyond the protocol's limit was taken")
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun statusOf(machines: Int): PeerStatus {
        val rooms = List(machines) { number ->
            MachineAvailability(
                MachineName("i-%06d".format(number)),
                "type",
                "zone",
                spot = false,
                usable = true,
                worthKeeping = true,
                idleMillis = 0,
                free = Resources(1.0, 0.0, 2.0),
                preemptible = List(4) { Resources(1.0, 0.0, 1.0) },
                images = listOf(ImageName("img-1"), ImageName("img-2")),
            )
        }
        val shard = ShardCapacity(ShardName("zone.0"), FencingToken(7), rooms)
        return PeerStatus(MemberId("one"), Incarnation(1), Revision(1), 0, false, listOf(shard), emptyList(), emptyList(), 0.0)
    }

    private companion object {
        const val CONNECTIONS = 4
        const val CALLERS = 10
        const val ROUNDS = 3
    }
}
