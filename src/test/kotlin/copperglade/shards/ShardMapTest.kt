package copperglade.shards

import copperglade.protocol.MachineName
import copperglade.protocol.ShardName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ShardMapTest {
    private val map = ShardMap(listOf("north", "south"), 3)

    @Test
    fun `every machine belongs to one shard of its own zone, and machines are spread evenly`() {
        val shards = (0 until 30).map { map.of(MachineName("i-%06d".format(it)), "south") }
        assertTrue(shards.all { it in map.all && map.zoneOf(it) == "south" })
        assertEquals(
            setOf(10),
            shards
                .groupBy { it }
                .values
                .map { it.size }
                .toSet(),
        )
        assertTrue(map.of(MachineName("odd name"), "north") in map.all)
        assertEquals(ShardName("north.1"), map.of(MachineName("i-999999999999999999991"), "north"))
    }
}
