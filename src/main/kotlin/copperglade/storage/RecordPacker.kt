package copperglade.storage

import copperglade.protocol.Revision
import org.slf4j.LoggerFactory

/** The write of one packed record, its condition, and the pages that it changes. */
class PackedWrite(val packer: RecordPacker, val condition: Condition, val write: Write.Set, val ranges: Set<TaskRange>)

/**
 * Packs changed pages into as few values as the service's limit allows. The budget counts keys, not bytes: with a record
 * for each page, its outcome in each shard and a deletion for each of them, the grown print shop's budget was spent on a
 * quarter of its jobs.
 *
 * A changed page stays in its packed record as long as that has room. Otherwise it is written to another packed record,
 * like a page that is in none yet, and its former packed record is left alone: what that still says of the page has a
 * lower version, so every reader takes the page from the new packed record, in whatever order it meets the two. A page
 * may thus stand in two packed records, but never in none: a packed record is rewritten without a page only once the
 * page is known to stand in another. What is left of moved pages, and of jobs that are over, goes with the next
 * rewrite: nothing has to be deleted, and no move needs more than one write.
 *
 * A limit that was lowered leaves packed records behind that are larger than a value may be now. They stay readable,
 * and are not written as long as what still counts of them is above the limit: each of their pages moves when it
 * changes. So a packed record is written only if it fits both before and after the change, and [same] can always write
 * it as it was.
 *
 * @param prefix of the packed records' keys; all of them are written by one writer at a time.
 * @param packed a page as the replica has it.
 * @param encode the bytes of that.
 */
class RecordPacker(
    private val replica: Replica,
    limits: StateLimits,
    private val prefix: String,
    private val packed: (Job, Int) -> PackedEntry<*>?,
    private val encode: (Job, Int) -> ByteArray?,
) {
    private val valueBytes = limits.valueBytes
    private val fullBytes = minOf(valueBytes * FULL, LARGEST_BYTES).toInt()
    private val busy = HashSet<String>()

    /**
     * Pages on their way. A page that is in no packed record yet must not go into a second one meanwhile: on a grown day two
     * writes of one page came to stand in two packed records, the older was taken for the page, and finished jobs ran again.
     */
    private val busyRanges = HashSet<TaskRange>()

    /** Pages that were logged as too large. */
    private val tooLarge = HashSet<TaskRange>()

    /** A packed record as it would be written: what counts of its present content, with changes. */
    private inner class Draft(val key: String) {
        private val entries = LinkedHashMap<TaskRange, ByteArray>()
        val changed = HashSet<TaskRange>()
        var bytes = BYTES_AROUND
            private set

        init {
            for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
                val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
                if (packed(job, range.index)?.recordKey == key) encode(job, range.index)?.let { put(range, it) }
            }
        }

        /** Whether the packed record may be written at all: its present content fits into a value. */
        private val writable = bytes <= valueBytes

        /** Whether the packed record, where [place] stands already, still fits into a value with [part] in its stead. */
        fun holds(range: TaskRange, entry: ByteArray): Boolean {
            val after = bytes - (entries[range]?.let { sizeOf(range, it.size) } ?: 0) + sizeOf(range, entry.size)
            val alone = entries.keys.all { it == range }
            return writable && after <= if (alone) valueBytes else fullBytes
        }

        fun change(range: TaskRange, entry: ByteArray) {
            put(range, entry)
            changed += range
        }

        private fun put(range: TaskRange, entry: ByteArray) {
            entries.remove(range)?.let { bytes -= sizeOf(range, it.size) }
            entries[range] = entry
            bytes += sizeOf(range, entry.size)
        }

        fun write(): PackedWrite {
            val condition = Condition(key, replica.packedRecords[key]?.revision ?: Revision.ABSENT)
            return PackedWrite(this@RecordPacker, condition, Write.Set(key, RecordCodec.encodePackedRecord(entries)), changed)
        }
    }

    /** Whether no write is under way that the page's own would have to wait for. */
    fun ready(job: Job, rangeIndex: Int): Boolean =
        TaskRange(job.id, rangeIndex) !in busyRanges && packed(job, rangeIndex)?.recordKey !in busy

    /** Whether a value can hold [part] at all. */
    fun fitsValue(range: TaskRange, entry: ByteArray): Boolean = BYTES_AROUND + sizeOf(range, entry.size) <= valueBytes

    /**
     * The writes that bring about [changes], each with a higher version than the page has now; those of packed records
     * under way are left out, and those that no value can hold. In order of the changes.
     */
    fun pack(changes: Map<TaskRange, ByteArray>): List<PackedWrite> {
        val drafts = LinkedHashMap<String, Draft>()
        for ((range, entry) in changes) {
            val home = replica.jobs[range.job]?.let { packed(it, range.index)?.recordKey }
            if (range in busyRanges || (home != null && home in busy)) continue
            if (!fitsValue(range, entry)) {
                if (tooLarge.add(range)) log.warn("page {} of {} bytes is too large for a value", range, entry.size)
                continue
            }
            val present = home?.let { drafts.getOrPut(it) { Draft(it) } }?.takeIf { it.holds(range, entry) }
            val draft = present ?: draftWithCapacity(range, entry, drafts)
            draft.change(range, entry)
        }
        return drafts.values.filter { it.changed.isNotEmpty() }.map { it.write() }
    }

    /**
     * Writes the packed record of [write] as it is, only to change its revision: a late copy of [write] dies of that. Its
     * present content fits into a value, as it did when [write] was made: nobody else has written it since.
     */
    fun rewriteUnchanged(write: PackedWrite): PackedWrite = Draft(write.write.key).write()

    private fun draftWithCapacity(range: TaskRange, entry: ByteArray, drafts: MutableMap<String, Draft>): Draft {
        drafts.values.firstOrNull { fits(it.bytes, range, entry) }?.let { return it }
        val known = replica.packedRecords.keys.firstOrNull {
            it.startsWith(prefix) && it !in busy && it !in drafts && fits(bytesOf(it), range, entry)
        }
        val key = known ?: unusedKey(drafts.keys)
        return Draft(key).also { drafts[key] = it }
    }

    private fun unusedKey(taken: Collection<String>): String {
        var number = 0
        while ("$prefix$number".let { it in replica.packedRecords || it in busy || it in taken }) number++
        return "$prefix$number"
    }

    private fun fits(bytes: Int, range: TaskRange, entry: ByteArray) = bytes + sizeOf(range, entry.size) <= fullBytes * ROOM_TO_GROW

    /** What of a packed record still counts. */
    private fun bytesOf(key: String): Int {
        var sum = BYTES_AROUND
        for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
            val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
            packed(job, range.index)?.takeIf { it.recordKey == key }?.let { sum += sizeOf(range, it.bytes) }
        }
        return sum
    }

    private fun sizeOf(range: TaskRange, bytes: Int) = range.job.text.length + bytes + BYTES_AROUND

    fun markInFlight(write: PackedWrite) {
        busy += write.write.key
        busyRanges += write.ranges
    }

    /** [write] is not on its way any more. */
    fun clearInFlight(write: PackedWrite) {
        busy -= write.write.key
        busyRanges -= write.ranges
    }

    fun clearAllInFlight() {
        busy.clear()
        busyRanges.clear()
        tooLarge.clear()
    }

    private companion object {
        /** Packed records are read and written whole: much larger ones would cost more processor than they save writes. */
        const val LARGEST_BYTES = 8 * 1024.0
        const val FULL = 0.9

        /** Pages grow after they were placed. */
        const val ROOM_TO_GROW = 0.75
        const val BYTES_AROUND = 16
        val log = LoggerFactory.getLogger("sheets")
    }
}
