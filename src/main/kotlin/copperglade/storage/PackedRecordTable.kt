package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Decoding
import copperglade.protocol.JobId
import copperglade.protocol.Revision

/** A packed record: its revision, and which pages it tells of. */
class PackedRecord(val revision: Revision, val ranges: Set<TaskRange>)

/** How a packed record's parts reach the jobs that they tell of. */
internal interface JobRecords {
    fun present(id: JobId): Job?

    /** The job, made if there is none; it counts as touched. */
    fun touch(id: JobId): Job

    /** Changes the job if there is one; one of which nothing is left is dropped. */
    fun edit(id: JobId, change: (Job) -> Unit)
}

/** The packed records as they are known here. Only what has changed in one is read, and counts as touched. */
internal class PackedRecordTable {
    private val records = HashMap<String, PackedRecord>()

    /** The packed records, by key. */
    val byKey: Map<String, PackedRecord> get() = records

    fun clear() = records.clear()

    /** Takes in a packed record; a malformed part counts as not written. */
    fun put(key: String, value: JsonNode, revision: Revision, entries: PackedEntries, jobs: JobRecords) {
        val before = records[key]
        if (before != null && before.revision >= revision) return
        val ranges = HashSet<TaskRange>()
        for ((name, entry) in value.properties()) {
            val range = TaskRange.parse(name) ?: continue
            ranges += range
            putEntry(key, range, entry, entries, jobs)
        }
        before?.ranges?.forEach { if (it !in ranges) removeEntry(key, it, entries, jobs) }
        records[key] = PackedRecord(revision, ranges)
    }

    private fun putEntry(key: String, range: TaskRange, entry: JsonNode, entries: PackedEntries, jobs: JobRecords) {
        val known = jobs.present(range.job)?.let { entries.present(it, range.index) }
        Decoding.orNull("record") {
            // The same, or older than what stands in another packed record.
            val isNews = known == null || known.value.version < RecordCodec.versionOf(entry)
            if (isNews) entries.set(jobs.touch(range.job), range.index, entry, key)
        }
    }

    fun drop(key: String, revision: Revision, entries: PackedEntries, jobs: JobRecords) {
        val before = records[key]?.takeIf { it.revision < revision } ?: return
        before.ranges.forEach { removeEntry(key, it, entries, jobs) }
        records.remove(key)
    }

    /** A part that has moved to another record meanwhile stays. */
    private fun removeEntry(key: String, range: TaskRange, entries: PackedEntries, jobs: JobRecords) = jobs.edit(range.job) {
        if (entries.present(it, range.index)?.recordKey == key) entries.remove(it, range.index)
    }
}
