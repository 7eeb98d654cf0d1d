package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MemberId
import copperglade.protocol.ShardName

/** The keys of this system's records in the state service. */
object Keys {
    const val ROOT = "cg/"

    /** The prefix of all records that a controller must load at its start. */
    const val CURRENT = "cg/now/"

    /** The prefix of the end records of jobs. */
    const val ENDED = "cg/over/"
    const val LEADER = "cg/now/lead"

    /** The number of tasks in a [TaskRange]. The entry with the most fragmented index ranges stays far below the smallest value limit. */
    const val TASKS_PER_RANGE = 256

    fun live(job: JobId) = "${CURRENT}live/$job"

    /** The key prefix of the leader's packed records, each of which holds the assignments of several jobs' task ranges. */
    fun assignmentRecords(kind: JobKind) = "${CURRENT}task/${kind.name.lowercase()}/"

    /** The key prefix of a shard's packed records, each of which holds the outcomes of several jobs' task ranges in that shard. */
    fun outcomeRecords(shard: ShardName) = "${CURRENT}work/$shard/"

    fun shard(name: ShardName) = "${CURRENT}block/$name"

    fun member(id: MemberId) = "${CURRENT}member/$id"

    /** The key of the peer status that a member sends through the state service while the member can't reach the leader directly. */
    fun peerStatus(id: MemberId) = "${CURRENT}room/$id"

    fun images(shard: ShardName) = "${CURRENT}images/$shard"

    fun ended(job: JobId) = "$ENDED$job"

    /** Parses [key]; returns null for a key kind that this version doesn't support. May throw if the key is malformed. */
    internal fun parse(key: String): ParsedKey? {
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
            "room" -> ParsedKey.PeerStatus(MemberId(parts[1]))
            "member" -> ParsedKey.Member(MemberId(parts[1]))
            else -> null
        }
    }
}
