package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MemberId
import copperglade.protocol.ShardName

/** The keys of the records in the state service. */
object Keys {
    const val ROOT = "cg/"

    /** The prefix of all records that a starting controller has to load. */
    const val CURRENT = "cg/now/"

    /** The prefix of the end records of jobs. */
    const val ENDED = "cg/over/"
    const val LEADER = "cg/now/lead"

    /** The length of a [TaskRange]: an entry of the most scattered tasks stays far below the smallest value limit. */
    const val TASKS_PER_RANGE = 256

    fun live(job: JobId) = "${CURRENT}live/$job"

    /** The prefix of the leader's packed records; each holds the assignments of several jobs' task ranges. */
    fun assignmentRecords(kind: JobKind) = "${CURRENT}task/${kind.name.lowercase()}/"

    /** The prefix of a shard's packed records; each holds the outcomes of several jobs' task ranges in that shard. */
    fun outcomeRecords(shard: ShardName) = "${CURRENT}work/$shard/"

    fun shard(name: ShardName) = "${CURRENT}block/$name"

    fun member(id: MemberId) = "${CURRENT}member/$id"

    /** The peer status that a member hands to the leader through the state service while it can't reach it directly. */
    fun peerStatus(id: MemberId) = "${CURRENT}room/$id"

    fun images(shard: ShardName) = "${CURRENT}images/$shard"

    fun ended(job: JobId) = "$ENDED$job"

    /** What [key] names, or null for a kind that only a later version knows. May throw where the key is malformed. */
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
