package copperglade.storage

/** The limits of the state service, from the platform's settings. The rates are totals for all controllers. */
class StateLimits(val requestsPerSecond: Double, val writesPerSecond: Double, val valueKb: Double, val transactionWrites: Int) {
    /** The maximum number of conditions in a transaction. The protocol allows four for each permitted write. */
    val transactionConditions get() = transactionWrites * CONDITIONS_PER_WRITE

    /** The maximum size of a value, in bytes. */
    val valueBytes get() = (valueKb * BYTES_PER_KB).toInt()

    private companion object {
        const val CONDITIONS_PER_WRITE = 4
        const val BYTES_PER_KB = 1024
    }
}
