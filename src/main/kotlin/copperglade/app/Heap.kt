package copperglade.app

/** The heap as the virtual machine has it. */
internal interface Heap {
    /** Bytes that objects take, garbage among them. */
    val usedBytes: Long

    /** The most that the start command allows. */
    val maxBytes: Long

    /** Collects garbage, and returns once that is done. */
    fun collectGarbage()
}

/** The heap of this process. */
internal object ProcessHeap : Heap {
    override val usedBytes: Long get() = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    override val maxBytes: Long get() = Runtime.getRuntime().maxMemory()

    override fun collectGarbage() = System.gc()
}
