package copperglade.storage

import copperglade.protocol.Decoding
import copperglade.protocol.Revision

/** A packed record in the replica: its revision, and the task ranges for which it has entries. */
internal class PackedRecord(val revision: Revision, val ranges: Set<TaskRange>)

/** The packed records in the replica. Only changed entries are decoded, and only the jobs of changed entries count as changed. */
internal class PackedRecordTable(private val jobs: JobTable) {
    private val records = HashMap<String, PackedRecord>()

    val byKey: Map<String, PackedRecord> get() = records

    fun clear() = records.clear()

    /** Applies a packed record that was written at [revision]. Malformed entries are ignored. */
    fun put(key: String, record: EncodedRecord, revision: Revision, entries: PackedEntries, changes: ReplicaChanges) {
        val before = records[key]
        if (before != null && before.revision >= revision) return
        val ranges = HashSet<TaskRange>()
        record.forEachEntry { range, entry ->
            ranges += range
            putEntry(key, range, entry, entries, changes)
        }
        before?.ranges?.forEach { if (it !in ranges) removeEntry(key, it, entries, changes) }
        records[key] = PackedRecord(revision, ranges)
    }

    private fun putEntry(key: String, range: TaskRange, entry: EncodedEntry, entries: PackedEntries, changes: ReplicaChanges) {
        val current = jobs.find(range.job)?.let { entries.find(it, range.index) }
        Decoding.orNull("record") {
            // An entry whose version is not higher has not changed, or has moved to another packed record with a newer version.
            val isNewer = current == null || current.value.version < entry.version
            if (isNewer) entries.set(jobs.getOrCreate(range.job, changes), range.index, entry, key)
        }
    }

    /** Applies the deletion of a packed record at [revision]. */
    fun delete(key: String, revision: Revision, entries: PackedEntries, changes: ReplicaChanges) {
        val before = records[key]?.takeIf { it.revision < revision } ?: return
        before.ranges.forEach { removeEntry(key, it, entries, changes) }
        records.remove(key)
    }

    /** Removes the entry of [range], unless the entry has moved to another packed record. */
    private fun removeEntry(key: String, range: TaskRange, entries: PackedEntries, changes: ReplicaChanges) =
        jobs.edit(range.job, changes) {
            if (entries.find(it, range.index)?.recordKey == key) entries.remove(it, range.index)
        }
}
