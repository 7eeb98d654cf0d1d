package copperglade.transport

import copperglade.protocol.Endpoint
import copperglade.protocol.MonotonicTime
import kotlin.time.Duration

/** The steady clock. The only source of time for decisions, so that tests can turn it by hand. */
interface Clock {
    fun now(): MonotonicTime

    /** The same clock, finer: for measuring how long something takes, never for decisions. */
    fun micros(): Long = now().ms * 1000

    /** Time of day in milliseconds; only for what people or other machines read. */
    fun wallMillis(): Long
}

/** The one thread on which everything is decided. */
interface EventLoop : Clock {
    fun after(delay: Duration, action: () -> Unit)

    /** Runs [action] again and again, each time after a [pause]. A fault in one turn doesn't end the chain. */
    fun again(pause: () -> Duration, action: () -> Unit): Unit = after(pause()) {
        try {
            action()
        } finally {
            again(pause, action)
        }
    }
}

enum class Method { GET, POST, DELETE, OTHER }

class Request(val method: Method, val path: String, val body: ByteArray = NOTHING) {
    companion object {
        val NOTHING = ByteArray(0)
    }
}

class Reply(val status: Int, val body: ByteArray = Request.NOTHING, val retryAfterSeconds: Int? = null)

/**
 * Sends requests to other processes. The answer is null where none came in time: then the request may have been
 * carried out, or may yet be.
 */
fun interface HttpClient {
    fun call(to: Endpoint, request: Request, timeout: Duration, done: (Reply?) -> Unit)
}

/** Takes requests from other processes. [Responder.send] is called once, now or later. */
fun interface RequestHandler {
    fun handle(request: Request, responder: Responder)
}

fun interface Responder {
    fun send(reply: Reply)
}
