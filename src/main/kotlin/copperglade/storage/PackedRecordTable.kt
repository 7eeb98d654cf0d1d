package copperglade.storage

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Decoding
import copperglade.protocol.JobId
import copperglade.protocol.Revision

/** A packed record: its revision, and which pages it tells of. */
class PackedRecord(val revision: Revision, val places: Set<TaskRange>)

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
    fun put(key: String, value: JsonNode, revision: Revision, parts: PackedParts, jobs: JobRecords) {
        val before = records[key]
        if (before != null && before.revision >= revision) return
        val places = HashSet<TaskRange>()
        for ((name, part) in value.properties()) {
            val place = TaskRange.parse(name) ?: continue
            places += place
            putPart(key, place, part, parts, jobs)
        }
        before?.places?.forEach { if (it !in places) removePart(key, it, parts, jobs) }
        records[key] = PackedRecord(revision, places)
    }

    private fun putPart(key: String, place: TaskRange, part: JsonNode, parts: PackedParts, jobs: JobRecords) {
        val known = jobs.present(place.job)?.let { parts.present(it, place.page) }
        Decoding.orNull("record") {
            // The same, or older than what stands in another packed record.
            val isNews = known == null || known.value.version < RecordCodec.versionOf(part)
            if (isNews) parts.set(jobs.touch(place.job), place.page, part, key)
        }
    }

    fun drop(key: String, revision: Revision, parts: PackedParts, jobs: JobRecords) {
        val before = records[key]?.takeIf { it.revision < revision } ?: return
        before.places.forEach { removePart(key, it, parts, jobs) }
        records.remove(key)
    }

    /** A part that has moved to another record meanwhile stays. */
    private fun removePart(key: String, place: TaskRange, parts: PackedParts, jobs: JobRecords) = jobs.edit(place.job) {
        if (parts.present(it, place.page)?.recordKey == key) parts.remove(it, place.page)
    }
}
