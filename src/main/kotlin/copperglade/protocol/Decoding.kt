package copperglade.protocol

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/**
 * Reads what other processes sent or stored. Reading changes no state, so a fault in it means malformed input and nothing more; it
 * must not be taken for a fault in a decision, which ends the process.
 */
object Decoding {
    private val malformedCounts = ConcurrentHashMap<String, Long>()
    private val log = LoggerFactory.getLogger("malformed")

    /** What [decode] reads, or null where the input of this [kind] is malformed. */
    fun <T : Any> orNull(kind: String, decode: () -> T?): T? = try {
        decode()
    } catch (fault: Exception) {
        recordMalformed(kind, fault)
        null
    }

    /** Logs the first, the second, the fourth, the eighth of a kind and so on: few lines, however many inputs come. */
    private fun recordMalformed(kind: String, fault: Exception) {
        val count = malformedCounts.merge(kind, 1L, Long::plus) ?: return
        if (count.countOneBits() == 1) log.warn("malformed_input kind={} count={} error={}", kind, count, fault.toString())
    }
}
