package copperglade.transport

/** Handles requests from other processes. */
fun interface RequestHandler {
    /** Handles [request] on the event loop; calls [Responder.send] once, during this call or later. */
    fun handle(request: Request, responder: Responder)
}

/** Sends the reply to one request. */
fun interface Responder {
    /** Sends [reply]; does nothing where the connection is closed. */
    fun send(reply: Reply)
}
