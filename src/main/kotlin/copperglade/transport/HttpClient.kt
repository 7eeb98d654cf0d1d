package copperglade.transport

import copperglade.protocol.Endpoint
import kotlin.time.Duration

/** Sends requests to other processes. */
fun interface HttpClient {
    /**
     * Sends [request] to [to] and calls [onReply] once, on the event loop, at the latest after [timeout]. A null reply means that no
     * reply was received in time; the request may nevertheless have been processed, or may still be processed later.
     */
    fun call(to: Endpoint, request: Request, timeout: Duration, onReply: (Reply?) -> Unit)
}
