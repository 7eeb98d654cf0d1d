package copperglade.sim

import java.io.OutputStream
import java.security.MessageDigest

/** Folds every wire event into a SHA-256 digest, and copies what it digests to [trace] if there is one. */
class WireDigest(private val trace: OutputStream? = null) : WireObserver {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** Events so far. */
    var messages = 0L
        private set

    override fun observe(event: WireEvent) {
        messages++
        val request = event.request
        val reply = event.reply
        val body = reply?.body ?: request.body
        val outcome = reply?.let { "${it.status} retry=${it.retryAfterSeconds}" } ?: "-"
        val header = "${event.atMillis} ${event.step} ${event.from} ${event.to} ${request.method} ${request.path} $outcome ${body.size} "
        listOf(header.encodeToByteArray(), body, LINE_END).forEach(::add)
    }

    private fun add(bytes: ByteArray) {
        digest.update(bytes)
        trace?.write(bytes)
    }

    /** The first [DIGITS] hexadecimal digits of the digest of all events; to be called once, at the end. */
    fun hex(): String = digest.digest().joinToString("") { "%02x".format(it) }.take(DIGITS)

    private companion object {
        const val DIGITS = 16
        val LINE_END = byteArrayOf('\n'.code.toByte())
    }
}
