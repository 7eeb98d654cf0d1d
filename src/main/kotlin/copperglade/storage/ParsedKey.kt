package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.MemberId
import copperglade.protocol.ShardName

/** What record a key of the state service names. */
internal sealed interface ParsedKey {
    data object Leader : ParsedKey

    class Live(val job: JobId) : ParsedKey

    /** One of the leader's packed records. */
    data object Assignments : ParsedKey

    /** One of a shard's packed records. */
    class Outcomes(val shard: ShardName) : ParsedKey

    class Ended(val job: JobId) : ParsedKey

    class Shard(val name: ShardName) : ParsedKey

    class Member(val id: MemberId) : ParsedKey

    class Images(val shard: ShardName) : ParsedKey

    class PeerStatus(val id: MemberId) : ParsedKey
}
