package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.ShardName

/** How the parts of one sort of packed record are kept with their jobs. */
internal interface PackedEntries {
    fun present(job: Job, rangeIndex: Int): PackedEntry<out Versioned>?

    fun set(job: Job, rangeIndex: Int, value: JsonNode, recordKey: String)

    fun remove(job: Job, rangeIndex: Int)
}

internal object AssignmentEntries : PackedEntries {
    override fun present(job: Job, rangeIndex: Int) = job.assignmentRanges[rangeIndex]

    override fun set(job: Job, rangeIndex: Int, value: JsonNode, recordKey: String) =
        job.setAssignmentRange(rangeIndex, PackedEntry(RecordCodec.decodeAssignmentRange(value), recordKey, RecordCodec::encode))

    override fun remove(job: Job, rangeIndex: Int) = job.setAssignmentRange(rangeIndex, null)
}

internal class OutcomeEntries(private val shard: ShardName) : PackedEntries {
    override fun present(job: Job, rangeIndex: Int) = job.outcomes[ShardTaskRange(rangeIndex, shard)]

    override fun set(job: Job, rangeIndex: Int, value: JsonNode, recordKey: String) =
        job.setOutcome(ShardTaskRange(rangeIndex, shard), PackedEntry(RecordCodec.decodeOutcome(value), recordKey, RecordCodec::encode))

    override fun remove(job: Job, rangeIndex: Int) = job.setOutcome(ShardTaskRange(rangeIndex, shard), null)
}
