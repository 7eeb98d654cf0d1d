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

/** The names of the records' keys. */
object Keys {
    const val ROOT = "cg/"

    /** All that a starting controller has to read. */
    const val CURRENT = "cg/now/"
    const val ENDED = "cg/over/"
    const val LEADER = "cg/now/lead"

    /** Tasks a page: a page of the most scattered ranges stays far below the smallest value limit. */
    const val TASKS_PER_RANGE = 256

    fun live(job: JobId) = "${CURRENT}live/$job"

    /** The leader's packed records: each holds the assignments of several jobs' pages. */
    fun assignmentRecords(kind: JobKind) = "${CURRENT}task/${kind.name.lowercase()}/"

    /** A shard's packed records: each holds what became of several jobs' pages in that shard. */
    fun outcomeRecords(shard: ShardName) = "${CURRENT}work/$shard/"

    fun shard(name: ShardName) = "${CURRENT}block/$name"

    fun member(id: MemberId) = "${CURRENT}member/$id"

    /** What a member would tell the leader of its room, while it can't reach it. */
    fun memberCapacity(id: MemberId) = "${CURRENT}room/$id"

    fun images(shard: ShardName) = "${CURRENT}images/$shard"

    fun ended(job: JobId) = "$ENDED$job"

    fun parse(key: String): ParsedKey? {
        if (key == LEADER) return ParsedKey.Leader
        if (key.startsWith(ENDED)) return JobId.parse(key.substring(ENDED.length))?.let { ParsedKey.Ended(it) }
        if (!key.startsWith(CURRENT)) return null
        val parts = key.substring(CURRENT.length).split('/')
        return when (parts[0]) {
            "live" -> JobId.parse(parts[1])?.let { ParsedKey.Live(it) }
            "task" -> ParsedKey.Assignments
            "work" -> ParsedKey.Outcomes(ShardName(parts[1]))
            "block" -> ParsedKey.Shard(ShardName(parts[1]))
            "images" -> ParsedKey.Images(ShardName(parts[1]))
            "room" -> ParsedKey.MemberCapacity(MemberId(parts[1]))
            "member" -> ParsedKey.Member(MemberId(parts[1]))
            else -> null
        }
    }
}

/** A page's tasks in a shard. */
data class ShardTaskRange(val index: Int, val shard: ShardName)

/** A page of a job, as a packed record names it: `job-000412/0`. */
data class TaskRange(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        // A page is named like a task: job and number.
        fun parse(text: String): TaskRange? = TaskId.parse(text)?.let { TaskRange(it.job, it.index) }
    }
}

sealed interface ParsedKey {
    data object Leader : ParsedKey

    class Live(val job: JobId) : ParsedKey

    data object Assignments : ParsedKey

    class Outcomes(val shard: ShardName) : ParsedKey

    class Ended(val job: JobId) : ParsedKey

    class Shard(val name: ShardName) : ParsedKey

    class Member(val id: MemberId) : ParsedKey

    class Images(val shard: ShardName) : ParsedKey

    class MemberCapacity(val id: MemberId) : ParsedKey
}
