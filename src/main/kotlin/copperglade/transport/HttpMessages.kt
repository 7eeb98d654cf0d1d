package copperglade.transport

/** The HTTP methods that the controllers use; any other method is [OTHER]. */
enum class Method { GET, POST, DELETE, OTHER }

/** An outgoing or incoming HTTP request; [path] includes the query string. */
class Request(val method: Method, val path: String, val body: ByteArray = EMPTY_BODY) {
    companion object {
        val EMPTY_BODY = ByteArray(0)
    }
}

/** The reply to a request. [status] is one of [HttpStatus], except in replies from other processes. */
class Reply(val status: Int, val body: ByteArray = Request.EMPTY_BODY, val retryAfterSeconds: Int? = null)
