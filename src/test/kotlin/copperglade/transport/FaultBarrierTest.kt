package copperglade.transport

import copperglade.app.ProcessHeap
import copperglade.protocol.Decoding
import copperglade.protocol.WorkerMessageCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FaultBarrierTest {
    @Test
    fun `after a fault nothing is decided any more`() {
        val faults = ArrayList<Throwable>()
        val barrier = FaultBarrier { faults += it }
        var decided = 0
        barrier.run { decided++ }
        barrier.run { throw OutOfMemoryError("injected") }
        barrier.run { decided++ }
        barrier.fail(IllegalStateException("later"))
        assertEquals(1, decided)
        assertEquals(listOf("injected"), faults.map { it.message })
        assertTrue(barrier.hasFailed)
    }

    @Test
    fun `a fault in a timer, a request or an answer reaches the barrier of the loop`() {
        for (place in listOf("timer", "request", "answer")) {
            val broken = CountDownLatch(1)
            val loop = NettyEventLoop(FaultBarrier { broken.countDown() })
            val caller = NettyHttpClient(loop, ProcessHeap.maxBytes)
            val at = freeEndpoint()
            NettyHttpServer(loop, CONNECTIONS) { _, responder ->
                if (place == "request") error("injected")
                responder.send(Reply(HttpStatus.OK))
            }.listen(at)
            loop.after(1.milliseconds) {
                if (place == "timer") error("injected")
                caller.call(at, Request(Method.GET, "/"), 2.seconds) { if (place == "answer") error("injected") }
            }
            assertTrue(broken.await(5, TimeUnit.SECONDS), "no fault seen in the $place")
            loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    @Test
    fun `malformed input is no fault`() {
        assertNull(Decoding.orNull<String>("test") { error("malformed") })
        val random = Random(1)
        repeat(MANY) {
            val bytes = ByteArray(random.nextInt(60)).also(random::nextBytes)
            WorkerMessageCodec.decodeHeartbeat(bytes)
        }
        // UTF-32, as its first bytes say, and not valid as such.
        assertNull(WorkerMessageCodec.decodeHeartbeat(byteArrayOf(0, 0, 0, '{'.code.toByte(), 0x7f, 0x7f, 0x7f, 0x7f)))
    }

    private companion object {
        const val CONNECTIONS = 10
        const val MANY = 2_000
    }
}
