package copperglade.ownership

import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName

/** The shards that this process owns according to the records, open or about to be opened. Only [ShardOwnership] modifies it. */
class OwnedShards {
    private val byName = HashMap<ShardName, ShardOwner>()

    /** All owned shards, open or not. */
    val all: Collection<ShardOwner> get() = byName.values

    /** The shards that are open: only to their workers are commands sent. */
    val open: List<ShardOwner> get() = byName.values.filter { it.isOpen }

    /** The number of machines in all owned shards. */
    val machineCount: Int get() = byName.values.sumOf { it.machines.size }

    operator fun get(name: ShardName): ShardOwner? = byName[name]

    operator fun contains(name: ShardName): Boolean = name in byName

    /** The capacity of the open shards, for the leader. */
    fun capacities(): List<ShardCapacity> = open.map { it.capacity() }

    internal fun add(shard: ShardOwner) {
        byName[shard.name] = shard
    }

    internal fun remove(name: ShardName) {
        byName.remove(name)
    }
}
