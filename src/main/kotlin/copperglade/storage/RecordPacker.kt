package copperglade.storage

import copperglade.protocol.Revision
import org.slf4j.LoggerFactory

/** The write of one packed record, its condition, and the task ranges whose entries it changes. */
class PackedWrite(val packer: RecordPacker, val condition: Condition, val write: Write.Set, val ranges: Set<TaskRange>)

/**
 * Packs changed entries into as few values as the service's limit allows, because the write budget counts keys and not bytes.
 *
 * A changed entry stays in its packed record while that has capacity. Otherwise it is written to another packed record, like an entry
 * that is in none yet, and the former record isn't changed: the entry that is left there has a lower version, so every reader takes the
 * new one, in whatever order it sees the two. An entry may thus be in two packed records but never in none, because a packed record is
 * rewritten without an entry only once the entry is known to be in another. Entries left behind, and those of jobs that have ended, go
 * with the next rewrite: nothing has to be deleted, and no move takes more than one write.
 *
 * After the limit was lowered, packed records may be larger than a value may be now. They stay readable, and aren't written while their
 * current entries exceed the limit: each of these entries moves when it changes. So a packed record is written only if it fits both
 * before and after the change, and [rewriteUnchanged] can always write it as it was.
 *
 * @param prefix the prefix of the packed records' keys; all of them have the same single writer.
 * @param entryOf an entry of a job as the replica has it, by index of the task range.
 * @param encode the same entry encoded.
 */
class RecordPacker(
    private val replica: Replica,
    limits: StateLimits,
    private val prefix: String,
    private val entryOf: (Job, Int) -> PackedEntry<*>?,
    private val encode: (Job, Int) -> ByteArray?,
) {
    private val valueBytes = limits.valueBytes
    private val fullBytes = minOf(valueBytes * FULL_FRACTION, MAX_RECORD_BYTES).toInt()
    private val recordsInFlight = HashSet<String>()

    /**
     * Task ranges with a write in flight. An entry that is in no packed record yet must not go into a second one meanwhile: if both
     * writes were applied, the older one could be taken for the entry, and finished tasks would run again.
     */
    private val rangesInFlight = HashSet<TaskRange>()

    /** Task ranges whose entries were logged as too large. */
    private val loggedTooLarge = HashSet<TaskRange>()

    /** A packed record as it would be written: its current entries, with changes. */
    private inner class Draft(val key: String) {
        private val entries = LinkedHashMap<TaskRange, ByteArray>()
        val changed = HashSet<TaskRange>()
        var bytes = OVERHEAD_BYTES
            private set

        init {
            for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
                val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
                if (entryOf(job, range.index)?.recordKey == key) encode(job, range.index)?.let { put(range, it) }
            }
        }

        /** Whether the packed record may be written at all: its current entries fit into a value. */
        private val writable = bytes <= valueBytes

        /** Whether the packed record, which has an entry of [range], still fits into a value with [entry] in its place. */
        fun fitsWith(range: TaskRange, entry: ByteArray): Boolean {
            val after = bytes - (entries[range]?.let { sizeOf(range, it.size) } ?: 0) + sizeOf(range, entry.size)
            val isOnlyEntry = entries.keys.all { it == range }
            return writable && after <= if (isOnlyEntry) valueBytes else fullBytes
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

    /** Whether no write is in flight that a write of this entry would have to wait for. */
    fun isReady(job: Job, rangeIndex: Int): Boolean =
        TaskRange(job.id, rangeIndex) !in rangesInFlight && entryOf(job, rangeIndex)?.recordKey !in recordsInFlight

    /** Whether a value can hold [entry] at all. */
    fun fitsValue(range: TaskRange, entry: ByteArray): Boolean = OVERHEAD_BYTES + sizeOf(range, entry.size) <= valueBytes

    /**
     * The writes that bring about [changes], in their order; each changed entry must have a higher version than the present one.
     * Left out are entries that have to wait for a write in flight, and those that no value can hold.
     */
    fun pack(changes: Map<TaskRange, ByteArray>): List<PackedWrite> {
        val drafts = LinkedHashMap<String, Draft>()
        for ((range, entry) in changes) {
            val recordKey = replica.jobs[range.job]?.let { entryOf(it, range.index)?.recordKey }
            if (range in rangesInFlight || (recordKey != null && recordKey in recordsInFlight)) continue
            if (!fitsValue(range, entry)) {
                if (loggedTooLarge.add(range)) log.warn("record_entry_too_large task_range={} bytes={}", range, entry.size)
                continue
            }
            val present = recordKey?.let { drafts.getOrPut(it) { Draft(it) } }?.takeIf { it.fitsWith(range, entry) }
            val draft = present ?: draftWithCapacity(range, entry, drafts)
            draft.change(range, entry)
        }
        return drafts.values.filter { it.changed.isNotEmpty() }.map { it.write() }
    }

    /**
     * Rewrites the packed record of [write] with its current entries, only to change its revision, so that no late copy of [write] can
     * be applied. They fit into a value, as they did when [write] was made: nobody else has written the record since.
     */
    internal fun rewriteUnchanged(write: PackedWrite): PackedWrite = Draft(write.write.key).write()

    private fun draftWithCapacity(range: TaskRange, entry: ByteArray, drafts: MutableMap<String, Draft>): Draft {
        drafts.values.firstOrNull { hasCapacity(it.bytes, range, entry) }?.let { return it }
        val known = replica.packedRecords.keys.firstOrNull {
            it.startsWith(prefix) && it !in recordsInFlight && it !in drafts && hasCapacity(bytesOf(it), range, entry)
        }
        val key = known ?: unusedKey(drafts.keys)
        return Draft(key).also { drafts[key] = it }
    }

    private fun unusedKey(drafted: Collection<String>): String {
        var number = 0
        while ("$prefix$number".let { it in replica.packedRecords || it in recordsInFlight || it in drafted }) number++
        return "$prefix$number"
    }

    private fun hasCapacity(bytes: Int, range: TaskRange, entry: ByteArray) =
        bytes + sizeOf(range, entry.size) <= fullBytes * NEW_ENTRY_FRACTION

    /** The size of a packed record's current entries. */
    private fun bytesOf(key: String): Int {
        var sum = OVERHEAD_BYTES
        for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
            val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
            entryOf(job, range.index)?.takeIf { it.recordKey == key }?.let { sum += sizeOf(range, it.bytes) }
        }
        return sum
    }

    private fun sizeOf(range: TaskRange, bytes: Int) = range.job.text.length + bytes + OVERHEAD_BYTES

    /** [write] is about to be sent: nothing that depends on its outcome is packed until [clearInFlight]. */
    fun markInFlight(write: PackedWrite) {
        recordsInFlight += write.write.key
        rangesInFlight += write.ranges
    }

    /** The outcome of [write] is known, and what it changed is in the replica. */
    fun clearInFlight(write: PackedWrite) {
        recordsInFlight -= write.write.key
        rangesInFlight -= write.ranges
    }

    /** No earlier write can be applied any more. */
    fun clearAllInFlight() {
        recordsInFlight.clear()
        rangesInFlight.clear()
        loggedTooLarge.clear()
    }

    private companion object {
        /** Packed records are read and written whole: larger ones would cost more processor time than they save writes. */
        const val MAX_RECORD_BYTES = 8 * 1024.0
        const val FULL_FRACTION = 0.9

        /** Entries grow after they were packed, so a packed record gets new entries only up to this part of its full size. */
        const val NEW_ENTRY_FRACTION = 0.75

        /** An upper bound on the bytes around a record and around each of its entries. */
        const val OVERHEAD_BYTES = 16
        val log = LoggerFactory.getLogger("storage")
    }
}
