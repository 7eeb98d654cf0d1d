package copperglade.storage

import copperglade.protocol.Revision

/** One transaction of the former version: the packed records it writes, and the pages that it changes. */
class FormerPackedWrite(val conditions: List<Condition>, val writes: List<Write>, val ranges: Set<TaskRange>)

/**
 * The packer of the version that knows no announced limits, as it was: it moves a page by rewriting both packed
 * records. Kept to see that both versions can write the same packed records in turn.
 *
 * Packs changed pages into as few values as the service's limit allows. The budget counts keys, not bytes: with a record
 * for each page, its outcome in each shard and a deletion for each of them, the grown print shop's budget was spent on a
 * quarter of its jobs.
 *
 * A page stays in the packed record where it is, unless that has become too full; then it moves, both packed records
 * changing in one transaction. What is left of jobs that are over goes with the next rewrite: nothing has to be
 * deleted.
 *
 * @param prefix of the packed records' keys; all of them are written by one writer at a time.
 * @param packed a page as the replica has it.
 * @param encode the bytes of that.
 */
class FormerRecordPacker(
    private val replica: Replica,
    limits: StateLimits,
    private val prefix: String,
    private val packed: (Job, Int) -> PackedEntry<*>?,
    private val encode: (Job, Int) -> ByteArray?,
) {
    private val fullBytes = minOf(limits.valueBytes * FULL, LARGEST_BYTES).toInt()
    private val busy = HashSet<String>()

    /**
     * Pages on their way. A page that is in no packed record yet must not go into a second one meanwhile: on a grown day two
     * writes of one page came to stand in two packed records, the older was taken for the page, and finished jobs ran again.
     */
    private val busyRanges = HashSet<TaskRange>()

    private inner class Draft(val key: String) {
        val entries = LinkedHashMap<TaskRange, ByteArray>()
        val changed = HashSet<TaskRange>()
        var bytes = BYTES_AROUND

        init {
            for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
                val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
                if (packed(job, range.index)?.recordKey == key) encode(job, range.index)?.let { put(range, it) }
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

    /** Whether no write is under way that the page's own would have to wait for. */
    fun ready(job: Job, rangeIndex: Int): Boolean =
        TaskRange(job.id, rangeIndex) !in busyRanges && packed(job, rangeIndex)?.recordKey !in busy

    /** The writes that bring about [changes]; those of packed records under way are left out. In order of the changes. */
    fun pack(changes: Map<TaskRange, ByteArray>): List<FormerPackedWrite> {
        val drafts = LinkedHashMap<String, Draft>()
        val moved = HashMap<String, MutableList<Draft>>()
        for ((range, entry) in changes) {
            val home = replica.jobs[range.job]?.let { packed(it, range.index)?.recordKey }
            if (range in busyRanges || (home != null && home in busy)) continue
            val draft = when (home) {
                null -> drafts.values.firstOrNull { fits(it.bytes, range, entry) } ?: recordWithCapacity(range, entry, drafts)
                else -> drafts[home] ?: Draft(home)
            }
            drafts[draft.key] = draft
            draft.put(range, entry)
            draft.changed += range
            if (draft.bytes <= fullBytes || draft.entries.size == 1) continue
            // It has outgrown its packed record: a new one for it alone.
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
     * Writes the first of [write]'s packed records as it is, only to change its revision: a late copy of [write] dies of that.
     */
    fun rewriteUnchanged(write: FormerPackedWrite): FormerPackedWrite {
        val draft = Draft(write.writes.first().key)
        return FormerPackedWrite(listOf(draft.condition()), listOf(draft.write()), emptySet())
    }

    private fun fits(bytes: Int, range: TaskRange, entry: ByteArray) = bytes + sizeOf(range, entry.size) <= fullBytes * ROOM_TO_GROW

    private fun recordWithCapacity(range: TaskRange, entry: ByteArray, taken: Map<String, Draft>): Draft {
        val known = replica.packedRecords.keys.firstOrNull {
            it.startsWith(prefix) && it !in busy && it !in taken && fits(bytesOf(it), range, entry)
        }
        return if (known != null) Draft(known) else emptyDraft(taken.keys)
    }

    private fun emptyDraft(taken: Collection<String>): Draft {
        var number = 0
        while ("$prefix$number".let { it in replica.packedRecords || it in busy || it in taken }) number++
        return Draft("$prefix$number")
    }

    /** What of a packed record still matters. */
    private fun bytesOf(key: String): Int {
        var sum = BYTES_AROUND
        for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
            val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
            packed(job, range.index)?.let { sum += sizeOf(range, it.bytes) }
        }
        return sum
    }

    private fun sizeOf(range: TaskRange, bytes: Int) = range.job.text.length + bytes + BYTES_AROUND

    fun markInFlight(write: FormerPackedWrite) {
        write.writes.forEach { busy += it.key }
        busyRanges += write.ranges
    }

    /** No packed record of [write] is on its way any more. */
    fun clearInFlight(write: FormerPackedWrite) {
        write.writes.forEach { busy -= it.key }
        busyRanges -= write.ranges
    }

    fun clearAllInFlight() {
        busy.clear()
        busyRanges.clear()
    }

    private companion object {
        const val BYTES_OF_KB = 1024

        /** Packed records are read and written whole: much larger ones would cost more processor than they save writes. */
        const val LARGEST_BYTES = 8 * 1024.0
        const val FULL = 0.9

        /** Pages grow after they were placed. */
        const val ROOM_TO_GROW = 0.75
        const val BYTES_AROUND = 16
    }
}
