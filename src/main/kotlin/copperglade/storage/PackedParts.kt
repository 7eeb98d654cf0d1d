package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.ShardName

/** How the parts of one sort of packed record are kept with their jobs. */
internal interface PackedParts {
    fun present(job: Job, page: Int): PackedPart<out Versioned>?

    fun set(job: Job, page: Int, value: JsonNode, recordKey: String)

    fun remove(job: Job, page: Int)
}

internal object AssignmentParts : PackedParts {
    override fun present(job: Job, page: Int) = job.pages[page]

    override fun set(job: Job, page: Int, value: JsonNode, recordKey: String) =
        job.setPage(page, PackedPart(RecordCodec.decodePage(value), recordKey, RecordCodec::encode))

    override fun remove(job: Job, page: Int) = job.setPage(page, null)
}

internal class OutcomeParts(private val shard: ShardName) : PackedParts {
    override fun present(job: Job, page: Int) = job.works[ShardTaskRange(page, shard)]

    override fun set(job: Job, page: Int, value: JsonNode, recordKey: String) =
        job.setWork(ShardTaskRange(page, shard), PackedPart(RecordCodec.decodeWork(value), recordKey, RecordCodec::encode))

    override fun remove(job: Job, page: Int) = job.setWork(ShardTaskRange(page, shard), null)
}
