package copperglade.storage

import copperglade.protocol.ShardName

/** Access to the entries of one kind of packed record, which are stored in their jobs. */
internal interface PackedEntries {
    /** Returns the entry of a task range in [job], or null if there is none. */
    fun find(job: Job, rangeIndex: Int): PackedEntry<out Versioned>?

    /** Decodes and stores [entry]. Throws, and stores nothing, if [entry] is malformed. */
    fun set(job: Job, rangeIndex: Int, entry: EncodedEntry, recordKey: String)

    fun remove(job: Job, rangeIndex: Int)
}

/** The leader's assignments, by task range. */
internal object AssignmentEntries : PackedEntries {
    override fun find(job: Job, rangeIndex: Int) = job.assignmentRanges[rangeIndex]

    override fun set(job: Job, rangeIndex: Int, entry: EncodedEntry, recordKey: String) =
        job.setAssignmentRange(rangeIndex, PackedEntry(entry.assignmentRange(), recordKey, RecordCodec::encode))

    override fun remove(job: Job, rangeIndex: Int) = job.setAssignmentRange(rangeIndex, null)
}

/** The outcomes of tasks in [shard], by task range. */
internal class OutcomeEntries(private val shard: ShardName) : PackedEntries {
    override fun find(job: Job, rangeIndex: Int) = job.outcomes[ShardTaskRange(rangeIndex, shard)]

    override fun set(job: Job, rangeIndex: Int, entry: EncodedEntry, recordKey: String) =
        job.setOutcome(ShardTaskRange(rangeIndex, shard), PackedEntry(entry.outcome(), recordKey, RecordCodec::encode))

    override fun remove(job: Job, rangeIndex: Int) = job.setOutcome(ShardTaskRange(rangeIndex, shard), null)
}
