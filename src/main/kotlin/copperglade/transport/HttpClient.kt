package copperglade.transport

import copperglade.protocol.Endpoint
import kotlin.time.Duration

/** Sends requests to other processes. */
fun interface HttpClient {
    /**
     * Calls [onReply] once, on the event loop, at the latest after [timeout]. Null means that no reply came in time: the request may
     * have been carried out, or may yet be.
     */
    fun call(to: Endpoint, request: Request, timeout: Duration, onReply: (Reply?) -> Unit)
}
