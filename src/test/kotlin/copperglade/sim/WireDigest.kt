package copperglade.sim

import java.io.OutputStream
import java.security.MessageDigest

/** Computes a SHA-256 digest of all wire events. The digested bytes are copied to [trace], unless it is null. */
class WireDigest(private val trace: OutputStream? = null) : WireObserver {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** The number of events so far. */
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

    /** Returns the first [DIGITS] hexadecimal digits of the digest of all events. To be called once, at the end. */
    fun hex(): String = digest.digest().joinToString("") { "%02x".format(it) }.take(DIGITS)

    private companion object {
        const val DIGITS = 16
        val LINE_END = byteArrayOf('\n'.code.toByte())
    }
}
