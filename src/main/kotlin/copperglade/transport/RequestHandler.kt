package copperglade.transport

/** Takes requests from other processes. */
fun interface RequestHandler {
    /** Handles [request] on the event loop; [Responder.send] is called once, now or later. */
    fun handle(request: Request, responder: Responder)
}

/** Sends the reply to one request. */
fun interface Responder {
    /** Sends [reply]; nothing is sent where the connection is gone. */
    fun send(reply: Reply)
}
