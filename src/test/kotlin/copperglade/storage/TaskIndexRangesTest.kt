package copperglade.storage

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random

class TaskIndexRangesTest {
    @Test
    fun `formatted ranges list exactly the indices of the set, and parse back to the set`() {
        val random = Random(5)
        repeat(200) {
            val set = BitSet()
            repeat(random.nextInt(40)) { set.set(random.nextInt(60)) }
            val text = TaskIndexRanges.format(set)
            assertEquals(set, TaskIndexRanges.parse(text))
            val plain = text.split(',').filter { it.isNotEmpty() }.flatMap { range ->
                val ends = range.split('-').map { it.toInt() }
                (ends.first()..ends.last()).toList()
            }
            assertEquals(set.stream().toArray().toList(), plain)
        }
    }
}
