package copperglade.transport

import copperglade.protocol.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Real sockets on loopback: a fleet's workers must not take the sockets that everything else needs. */
class SocketsTest {
    /** All held until the last is known: a port that is closed again may be given out once more. */
    private fun freePlaces(number: Int): List<Endpoint> =
        List(number) { ServerSocket(0) }.onEach { it.close() }.map { Endpoint("127.0.0.1", it.localPort) }

    @Test
    fun `more peers than sockets are all answered, and only so many connections stay`() {
        val loop = NettyEventLoop()
        val limit = 4
        val caller = NettyHttpCaller(loop.group, limit)
        val places = freePlaces(20)
        val answered = AtomicInteger()
        val all = CountDownLatch(2 * places.size)
        places.forEach { NettyHttpServer(loop.group, 10) { _, responder -> responder.send(Reply(200)) }.listen(it) }
        repeat(2) {
            loop.after(0.seconds) {
                places.forEach { to ->
                    caller.call(to, Request(Method.GET, "/"), 10.seconds) { reply ->
                        if (reply?.status == 200) answered.incrementAndGet()
                        assertTrue(caller.connections <= limit)
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
        val at = freePlaces(1).single()
        val held = ArrayList<Responder>()
        val server = NettyHttpServer(loop.group, 10) { _, responder -> held += responder }
        server.listen(at)
        val caller = NettyHttpCaller(loop.group)
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
}
