package copperglade.app

/** The heap of the Java virtual machine. */
internal interface Heap {
    /** The bytes that objects occupy, including garbage. */
    val usedBytes: Long

    /** The maximum heap size, as set by the start command. */
    val maxBytes: Long

    /** Runs a garbage collection and returns once it is complete. */
    fun collectGarbage()
}

/** The heap of this process. */
internal object ProcessHeap : Heap {
    override val usedBytes: Long get() = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    override val maxBytes: Long get() = Runtime.getRuntime().maxMemory()

    override fun collectGarbage() = System.gc()
}
