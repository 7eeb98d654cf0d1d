package copperglade.storage

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import java.io.IOException
import java.util.BitSet

/** Sets of task numbers as text, such as `0-3,7`. */
object TaskIndexRanges {
    fun format(set: BitSet): String = buildString {
        var start = set.nextSetBit(0)
        while (start >= 0) {
            val end = set.nextClearBit(start) - 1
            if (isNotEmpty()) append(',')
            append(start)
            if (end > start) append('-').append(end)
            start = set.nextSetBit(end + 1)
        }
    }

    fun parse(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (part in text.split(',')) {
            val dash = part.indexOf('-')
            if (dash <
                0
            ) {
                set.set(part.toInt())
            } else {
                set.set(
                    part.substring(0, dash).toInt(),
                    part.substring(dash + 1).toInt() + 1,
                )
            }
        }
        return set
    }
}
