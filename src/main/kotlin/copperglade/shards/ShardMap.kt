package copperglade.shards

import copperglade.protocol.MachineName
import copperglade.protocol.ShardName

/**
 * Maps machines to shards. The shard is a pure function of the machine's name and zone, so a machine needs no record and belongs to
 * exactly one shard. All controllers must use the same [zones] and [shardsPerZone].
 */
class ShardMap(zones: List<String>, private val shardsPerZone: Int) {
    /** All shards, in a fixed order. */
    val all: List<ShardName> = zones.flatMap { zone -> (0 until shardsPerZone).map { ShardName("$zone.$it") } }

    /** Returns the shard of [machine] in [zone]. */
    fun of(machine: MachineName, zone: String): ShardName {
        // Machine names end in a sequence number, so machines created together are spread evenly over the shards.
        val number =
            machine.text
                .takeLastWhile { it.isDigit() }
                .takeLast(MAX_NUMBER_DIGITS)
                .toIntOrNull() ?: machine.text.hashCode()
        return ShardName("$zone.${Math.floorMod(number, shardsPerZone)}")
    }

    /** Returns the zone of [shard] and of all its machines. */
    fun zoneOf(shard: ShardName): String = shard.text.substringBeforeLast('.')

    private companion object {
        /** Any number with this many digits fits into an [Int]. */
        const val MAX_NUMBER_DIGITS = 9
    }
}
