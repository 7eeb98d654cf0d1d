package copperglade.protocol

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/**
 * Reads what other processes sent or stored. Reading changes no state, so a fault in it means malformed input and nothing more; it
 * must not be taken for a fault in a decision, which ends the process.
 */
object Decoding {
    private val malformed = ConcurrentHashMap<String, Long>()
    private val log = LoggerFactory.getLogger("malformed")

    /** What [decode] reads, or null where the input of this [kind] is malformed. */
    fun <T : Any> orNull(kind: String, decode: () -> T?): T? = try {
        decode()
    } catch (fault: Exception) {
        report(kind, fault)
        null
    }

    /** A line for the first, the second, the fourth, the eighth of a kind and so on: few, however many come. */
    private fun report(kind: String, fault: Exception) {
        val count = malformed.merge(kind, 1L, Long::plus) ?: return
        if (count.countOneBits() == 1) log.warn("malformed {} ({} so far): {}", kind, count, fault.toString())
    }
}
