package copperglade.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random

class WorkerMessageCodecTest {
    /** Decodes a heartbeat from a JSON tree, as a reference for the streaming parser. */
    private fun decodeFromTree(bytes: ByteArray): String? {
        val root = Json.read(bytes)?.takeIf { it.isObject } ?: return null
        val reportedTasks = root.fieldOrNull("boxes")
        if (reportedTasks != null && !reportedTasks.isArray) return null
        val decodedTasks = reportedTasks?.map { node ->
            val task = node.stringOrNull("box")?.let { TaskId.parse(it) } ?: return null
            val state = ReportedTaskState.entries.firstOrNull { it.wireName == node.stringOrNull("status") } ?: return null
            val cause = node.stringOrNull("cause")?.let { word -> ExitCause.entries.firstOrNull { it.wireName == word } ?: ExitCause.OTHER }
            ReportedTask(task, Attempt(node.longOrNull("trip") ?: return null), state, cause)
        }
        return listOf(
            root.stringOrNull("truck") ?: return null,
            root.stringOrNull("addr")?.let { Endpoint.parse(it) } ?: return null,
            root.stringOrNull("fleet") ?: return null,
            root.stringOrNull("depot") ?: return null,
            root.booleanOrNull("borrowed") ?: return null,
            root.longOrNull("shift") ?: return null,
            root.longOrNull("tally") ?: return null,
            root.longOrNull("baton") ?: 0L,
            root.doubleOrNull("recallS"),
            decodedTasks.orEmpty(),
        ).toString()
    }

    private fun fieldsAsText(heartbeat: Heartbeat) = with(heartbeat) {
        listOf(machine, endpoint, type, zone, spot, epoch, sequenceNumber, fencingToken, evictionNoticeSeconds, reportedTasks).toString()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `the streaming parser and the tree decoder agree on valid and malformed heartbeats`(seed: Long) {
        val random = Random(seed)
        val replacements =
            listOf("null", "7", "-1", "1.5", "\"x\"", "true", "[]", "[1,{}]", "{}", "{\"a\":[2]}", "\"job-1/0\"", "\"ended\"", "1e3")
        val validBody = """{"truck":"i-1","addr":"10.0.0.1:9000","fleet":"g","depot":"a","borrowed":true,"shift":1,"tally":8,
            "baton":4,"recallS":null,"boxes":[{"box":"job-1/3","trip":2,"status":"running"},
            {"box":"job-2/0","trip":1,"status":"ended","cause":"done"}],"more":{"boxes":[1]}}"""
        val valueRanges = Regex(":(\"[^\"]*\"|[0-9]+|true|null)").findAll(validBody).map { it.groups[1]!!.range }.toList()
        var validCount = 0
        repeat(500) {
            var text = validBody
            valueRanges.filter { random.nextInt(8) == 0 }.reversed().forEach {
                text =
                    text.replaceRange(it, replacements[random.nextInt(replacements.size)])
            }
            if (random.nextInt(10) == 0) text = text.take(random.nextInt(text.length))
            val decoded = WorkerMessageCodec.decodeHeartbeat(text.toByteArray())
            assertEquals(decodeFromTree(text.toByteArray()), decoded?.let(::fieldsAsText), text)
            if (decoded != null) validCount++
        }
        assertTrue(validCount in 20..480, "$validCount valid heartbeats")
    }

    @Test
    fun `malformed heartbeats decode to null`() {
        assertNull(WorkerMessageCodec.decodeHeartbeat("[]".toByteArray()))
        assertNull(WorkerMessageCodec.decodeHeartbeat("""{"truck":"i-1"}""".toByteArray()))
    }
}
