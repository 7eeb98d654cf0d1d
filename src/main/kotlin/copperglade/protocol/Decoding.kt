package copperglade.protocol

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/**
 * Decodes input that other processes sent or stored. Decoding changes no state, so an exception means malformed input and nothing
 * more. Such an exception must be told apart from a fault in a decision, which ends the process.
 */
object Decoding {
    private val malformedCounts = ConcurrentHashMap<String, Long>()
    private val log = LoggerFactory.getLogger("malformed")

    /** Returns the result of [decode], or null where [decode] throws because the input of this [kind] is malformed. */
    fun <T : Any> orNull(kind: String, decode: () -> T?): T? = try {
        decode()
    } catch (fault: Exception) {
        recordMalformed(kind, fault)
        null
    }

    /** Logs a malformed input of a kind only where its count is a power of two, so that many malformed inputs log few lines. */
    private fun recordMalformed(kind: String, fault: Exception) {
        val count = malformedCounts.merge(kind, 1L, Long::plus) ?: return
        if (count.countOneBits() == 1) log.warn("malformed_input kind={} count={} error={}", kind, count, fault.toString())
    }
}
