package copperglade.storage

/** Limits of the state service, as the platform's settings give them. The rates are shared by all controllers. */
class StateLimits(val requestsPerSecond: Double, val writesPerSecond: Double, val valueKb: Double, val transactionWrites: Int) {
    /** The number of conditions that a transaction may have: the protocol allows four for each write. */
    val transactionConditions get() = transactionWrites * CONDITIONS_PER_WRITE

    /** The largest value, in bytes. */
    val valueBytes get() = (valueKb * BYTES_PER_KB).toInt()

    private companion object {
        const val CONDITIONS_PER_WRITE = 4
        const val BYTES_PER_KB = 1024
    }
}
