package copperglade.shards

import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ShardRecord
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which shard a machine belongs to: a pure function, so that a machine needs no record and has exactly one shard. */
class ShardMap(private val zones: List<String>, private val perZone: Int) {
    val all: List<ShardName> = zones.flatMap { zone -> (0 until perZone).map { ShardName("$zone.$it") } }

    fun of(machine: MachineName, zone: String): ShardName {
        // Names are numbered in order of rental: machines of one rental spread evenly over the slots.
        val number =
            machine.text
                .takeLastWhile { it.isDigit() }
                .takeLast(NUMBER_DIGITS)
                .toIntOrNull() ?: machine.text.hashCode()
        return ShardName("$zone.${Math.floorMod(number, perZone)}")
    }

    fun zoneOf(shard: ShardName): String = shard.text.substringBeforeLast('.')

    private companion object {
        const val NUMBER_DIGITS = 9
    }
}
