package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.Json
import copperglade.protocol.ShardName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

class RecordCodecTest {
    private fun bits(vararg tasks: Int) = BitSet().apply { tasks.forEach { set(it) } }

    @Test
    fun `the entry with the most fragmented index ranges stays far below the smallest value limit`() {
        val odd = BitSet().apply { for (task in 99_744 until 100_000 step 2) set(task) }
        val assignments =
            AssignmentRange(listOf(AssignmentGroup(ShardName("saskatoon-rack.2"), FencingToken(1L shl 40), 9, odd)), odd, 9, 256, 1)
        assertTrue(RecordCodec.encode(assignments).size < 3000)
    }

    @Test
    fun `packed record entries are unchanged after encoding and decoding`() {
        val outcome = RecordCodec.decodeOutcome(Json.read(RecordCodec.encode(OutcomeRecord(bits(1, 2), mapOf(3 to bits(4)), bits(5), 8)))!!)
        assertEquals(
            listOf(bits(1, 2), mapOf(3 to bits(4)), bits(5), 8),
            listOf(outcome.done, outcome.returned, outcome.restarted, outcome.version),
        )
        val assignments = RecordCodec.decodeAssignmentRange(
            Json.read(RecordCodec.encode(AssignmentRange(emptyList(), bits(2), lastGeneration = 7, assignedEnd = 5, version = 9)))!!,
        )
        assertEquals(
            listOf(bits(2), 7, 5, 9),
            listOf(assignments.preemptedForGuarantee, assignments.lastGeneration, assignments.assignedEnd, assignments.version),
        )
    }
}
