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
    fun `no action runs after an action has thrown`() {
        val faults = ArrayList<Throwable>()
        val barrier = FaultBarrier { faults += it }
        var runs = 0
        barrier.run { runs++ }
        barrier.run { throw OutOfMemoryError("injected") }
        barrier.run { runs++ }
        barrier.fail(IllegalStateException("later"))
        assertEquals(1, runs)
        assertEquals(listOf("injected"), faults.map { it.message })
        assertTrue(barrier.hasFailed)
    }

    @Test
    fun `an exception in a timer, a request handler or a reply callback reaches the barrier of the loop`() {
        for (faultySite in listOf("timer", "request", "answer")) {
            val faultReported = CountDownLatch(1)
            val loop = NettyEventLoop(FaultBarrier { faultReported.countDown() })
            val client = NettyHttpClient(loop, ProcessHeap.maxBytes)
            val endpoint = freeEndpoint()
            NettyHttpServer(loop, CONNECTION_LIMIT) { _, responder ->
                if (faultySite == "request") error("injected")
                responder.send(Reply(HttpStatus.OK))
            }.listen(endpoint)
            loop.after(1.milliseconds) {
                if (faultySite == "timer") error("injected")
                client.call(endpoint, Request(Method.GET, "/"), 2.seconds) { if (faultySite == "answer") error("injected") }
            }
            assertTrue(faultReported.await(5, TimeUnit.SECONDS), "the exception in the $faultySite did not reach the barrier")
            loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    @Test
    fun `decoders do not throw on malformed input`() {
        assertNull(Decoding.orNull<String>("test") { error("malformed") })
        val random = Random(1)
        repeat(RANDOM_INPUTS) {
            val bytes = ByteArray(random.nextInt(60)).also(random::nextBytes)
            WorkerMessageCodec.decodeHeartbeat(bytes)
        }
        // The first bytes indicate UTF-32, and the rest is not valid UTF-32.
        assertNull(WorkerMessageCodec.decodeHeartbeat(byteArrayOf(0, 0, 0, '{'.code.toByte(), 0x7f, 0x7f, 0x7f, 0x7f)))
    }

    private companion object {
        const val CONNECTION_LIMIT = 10
        const val RANDOM_INPUTS = 2_000
    }
}
