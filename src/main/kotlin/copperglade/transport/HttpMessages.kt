package copperglade.transport

/** The HTTP methods that requests here use; any other is [OTHER]. */
enum class Method { GET, POST, DELETE, OTHER }

/** A request, of ours or to us; [path] includes the query. */
class Request(val method: Method, val path: String, val body: ByteArray = EMPTY_BODY) {
    companion object {
        val EMPTY_BODY = ByteArray(0)
    }
}

/** The reply to a request, with one of [HttpStatus] unless another process chose it. */
class Reply(val status: Int, val body: ByteArray = Request.EMPTY_BODY, val retryAfterSeconds: Int? = null)
