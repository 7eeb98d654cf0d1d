package copperglade.shards

import copperglade.protocol.MachineName
import copperglade.protocol.ShardName

/**
 * Which shard a machine belongs to: a pure function of its name and zone, so that a machine needs no record and has exactly one shard.
 * All controllers must be given the same [zones] and [shardsPerZone].
 */
class ShardMap(zones: List<String>, private val shardsPerZone: Int) {
    /** All shards, in a fixed order. */
    val all: List<ShardName> = zones.flatMap { zone -> (0 until shardsPerZone).map { ShardName("$zone.$it") } }

    /** The shard of [machine] in [zone]. */
    fun of(machine: MachineName, zone: String): ShardName {
        // Names end in a number that counts the machines: those that came together spread evenly.
        val number =
            machine.text
                .takeLastWhile { it.isDigit() }
                .takeLast(MAX_NUMBER_DIGITS)
                .toIntOrNull() ?: machine.text.hashCode()
        return ShardName("$zone.${Math.floorMod(number, shardsPerZone)}")
    }

    /** The zone of all machines of [shard]. */
    fun zoneOf(shard: ShardName): String = shard.text.substringBeforeLast('.')

    private companion object {
        /** As many as an [Int] surely holds. */
        const val MAX_NUMBER_DIGITS = 9
    }
}
