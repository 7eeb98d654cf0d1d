package copperglade.storage

import java.util.BitSet

/**
 * The outcomes of a [TaskRange]'s tasks in one shard. Only the shard's owner writes it.
 *
 * @property returned by generation, the tasks that certainly run on no machine of the shard any more and may be assigned again.
 * @property failing whether the shard's owner has found that the job fails on whichever machine it runs.
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
