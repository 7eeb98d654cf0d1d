package copperglade.storage

import copperglade.protocol.Revision

/** One transaction of [FormerRecordPacker]: conditions and writes of packed records, and the task ranges whose entries change. */
class FormerPackedWrite(val conditions: List<Condition>, val writes: List<Write>, val ranges: Set<TaskRange>)

/**
 * The packer of the last version without announced limits, unchanged except for names. This packer moves an entry by rewriting both packed
 * records. Tests use it to check that both versions can alternately write the same packed records.
 *
 * Packs changed entries into as few values as the service's limit allows. An entry stays in its packed record unless the record is full.
 * Otherwise the entry moves, and both packed records change in one transaction. Entries of ended jobs are dropped by the next rewrite.
 *
 * @param prefix the key prefix of the packed records, all of which have the same single writer.
 * @param entryOf returns an entry of a job in the replica, by index of the task range.
 * @param encode returns the same entry encoded.
 */
class FormerRecordPacker(
    private val replica: Replica,
    limits: StateLimits,
    private val prefix: String,
    private val entryOf: (Job, Int) -> PackedEntry<*>?,
    private val encode: (Job, Int) -> ByteArray?,
) {
    private val fullBytes = minOf(limits.valueBytes * FULL_FRACTION, MAX_RECORD_BYTES).toInt()
    private val recordsInFlight = HashSet<String>()

    /** Task ranges with a write in flight. A new entry must not be written to a second packed record during that time. */
    private val rangesInFlight = HashSet<TaskRange>()

    private inner class Draft(val key: String) {
        val entries = LinkedHashMap<TaskRange, ByteArray>()
        val changed = HashSet<TaskRange>()
        var bytes = OVERHEAD_BYTES

        init {
            for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
                val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
                if (entryOf(job, range.index)?.recordKey == key) encode(job, range.index)?.let { put(range, it) }
            }
        }

        fun put(range: TaskRange, entry: ByteArray) {
            remove(range)
            entries[range] = entry
            bytes += sizeOf(range, entry.size)
        }

        fun remove(range: TaskRange) {
            entries.remove(range)?.let { bytes -= sizeOf(range, it.size) }
        }

        fun condition() = Condition(key, replica.packedRecords[key]?.revision ?: Revision.ABSENT)

        fun write() = Write.Set(key, RecordCodec.encodePackedRecord(entries))
    }

    /** Whether a write of this entry can be packed now, because no write in flight blocks it. */
    fun isReady(job: Job, rangeIndex: Int): Boolean =
        TaskRange(job.id, rangeIndex) !in rangesInFlight && entryOf(job, rangeIndex)?.recordKey !in recordsInFlight

    /** Returns the writes that apply [changes], in the order of the changes. Entries blocked by a write in flight are left out. */
    fun pack(changes: Map<TaskRange, ByteArray>): List<FormerPackedWrite> {
        val drafts = LinkedHashMap<String, Draft>()
        val moved = HashMap<String, MutableList<Draft>>()
        for ((range, entry) in changes) {
            val currentKey = replica.jobs[range.job]?.let { entryOf(it, range.index)?.recordKey }
            if (range in rangesInFlight || (currentKey != null && currentKey in recordsInFlight)) continue
            val draft = when (currentKey) {
                null -> drafts.values.firstOrNull { hasCapacity(it.bytes, range, entry) } ?: recordWithCapacity(range, entry, drafts)
                else -> drafts[currentKey] ?: Draft(currentKey)
            }
            drafts[draft.key] = draft
            draft.put(range, entry)
            draft.changed += range
            if (draft.bytes <= fullBytes || draft.entries.size == 1) continue
            // The entry no longer fits into its packed record and moves to a new one.
            draft.remove(range)
            val alone = emptyDraft(drafts.keys + moved.values.flatten().map { it.key })
            alone.put(range, entry)
            moved.getOrPut(draft.key) { ArrayList() } += alone
        }
        return drafts.values.map { draft ->
            val all = listOf(draft) + moved[draft.key].orEmpty()
            FormerPackedWrite(all.map { it.condition() }, all.map { it.write() }, draft.changed)
        }
    }

    /**
     * Returns a write of [write]'s first packed record with unchanged content. The rewrite only changes the record's revision, so that a
     * delayed copy of [write] can't be applied.
     */
    fun rewriteUnchanged(write: FormerPackedWrite): FormerPackedWrite {
        val draft = Draft(write.writes.first().key)
        return FormerPackedWrite(listOf(draft.condition()), listOf(draft.write()), emptySet())
    }

    private fun hasCapacity(bytes: Int, range: TaskRange, entry: ByteArray) =
        bytes + sizeOf(range, entry.size) <= fullBytes * NEW_ENTRY_FRACTION

    private fun recordWithCapacity(range: TaskRange, entry: ByteArray, drafted: Map<String, Draft>): Draft {
        val existingKey = replica.packedRecords.keys.firstOrNull {
            it.startsWith(prefix) && it !in recordsInFlight && it !in drafted && hasCapacity(bytesOf(it), range, entry)
        }
        return if (existingKey != null) Draft(existingKey) else emptyDraft(drafted.keys)
    }

    private fun emptyDraft(drafted: Collection<String>): Draft {
        var number = 0
        while ("$prefix$number".let { it in replica.packedRecords || it in recordsInFlight || it in drafted }) number++
        return Draft("$prefix$number")
    }

    /** Returns the size in bytes of a packed record's current entries. */
    private fun bytesOf(key: String): Int {
        var sum = OVERHEAD_BYTES
        for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
            val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
            entryOf(job, range.index)?.let { sum += sizeOf(range, it.bytes) }
        }
        return sum
    }

    private fun sizeOf(range: TaskRange, bytes: Int) = range.job.text.length + bytes + OVERHEAD_BYTES

    fun markInFlight(write: FormerPackedWrite) {
        write.writes.forEach { recordsInFlight += it.key }
        rangesInFlight += write.ranges
    }

    fun clearInFlight(write: FormerPackedWrite) {
        write.writes.forEach { recordsInFlight -= it.key }
        rangesInFlight -= write.ranges
    }

    fun clearAllInFlight() {
        recordsInFlight.clear()
        rangesInFlight.clear()
    }

    private companion object {
        const val MAX_RECORD_BYTES = 8 * 1024.0
        const val FULL_FRACTION = 0.9
        const val NEW_ENTRY_FRACTION = 0.75
        const val OVERHEAD_BYTES = 16
    }
}
