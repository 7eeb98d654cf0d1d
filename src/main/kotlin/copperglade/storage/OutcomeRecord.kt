package copperglade.storage

import java.util.BitSet

/**
 * The outcomes of a [TaskRange]'s tasks in one shard. Only the shard's owner writes this record.
 *
 * @property returned by generation, the tasks that are confirmed absent from all machines of the shard and may be assigned again.
 * @property failing whether the shard's owner has observed that the job fails on every machine.
 */
class OutcomeRecord(
    val done: BitSet,
    val returned: Map<Int, BitSet>,
    val restarted: BitSet,
    override val version: Int,
    val failing: Boolean = false,
) : Versioned {
    companion object {
        val EMPTY = OutcomeRecord(BitSet(), emptyMap(), BitSet(), 0)
    }
}
