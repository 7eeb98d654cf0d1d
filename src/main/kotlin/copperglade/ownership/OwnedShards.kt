package copperglade.ownership

import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName

/** The shards that this process owns by the records, open or about to be opened. Written by [ShardOwnership] alone. */
class OwnedShards {
    private val byName = HashMap<ShardName, ShardOwner>()

    /** All of them, open or not. */
    val all: Collection<ShardOwner> get() = byName.values

    /** Those whose workers are commanded. */
    val open: List<ShardOwner> get() = byName.values.filter { it.isOpen }

    /** How many machines they have together. */
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
