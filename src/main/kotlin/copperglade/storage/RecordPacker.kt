package copperglade.storage

import copperglade.protocol.Revision
import org.slf4j.LoggerFactory

/** The write of one packed record, the write's condition, and the task ranges whose entries change. */
class PackedWrite(val packer: RecordPacker, val condition: Condition, val write: Write.Set, val ranges: Set<TaskRange>)

/**
 * Packs changed entries into as few values as the state service's value limit allows, because the write budget counts keys, not bytes.
 *
 * A changed entry stays in its packed record while the record has capacity. Otherwise the entry moves: it is written to another packed
 * record, like a new entry, and the previous record isn't changed. The stale copy in the previous record has a lower version, so every
 * reader uses the new entry, regardless of the order in which it reads the two records.
 *
 * An entry may thus be in two packed records, but never in none: a packed record is rewritten without an entry only after the replica
 * holds the entry in another record. Stale copies and entries of ended jobs are dropped by the next rewrite of their record, so nothing
 * has to be deleted, and a move never takes more than one write.
 *
 * After the value limit was lowered, some packed records may exceed the new limit. Such a record stays readable, but isn't written while
 * its current entries exceed the limit; each of these entries moves when the entry changes. So a packed record is written only if the
 * record fits both before and after the change, and [rewriteUnchanged] can always write the record's current entries.
 *
 * @param prefix the key prefix of the packed records, all of which have the same single writer.
 * @param entryOf returns an entry of a job in the replica, by index of the task range.
 * @param encode returns the same entry encoded.
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
     * Task ranges with a write in flight. A new entry must not be written to a second packed record during that time: if both writes
     * were applied, readers could use the older entry, and finished tasks would run again.
     */
    private val rangesInFlight = HashSet<TaskRange>()

    /** Task ranges whose entries have already been logged as too large. */
    private val loggedTooLarge = HashSet<TaskRange>()

    /** The pending content of a packed record: its current entries with changes applied. */
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

        /** Whether the packed record may be written: its current entries must fit into a value. */
        private val writable = bytes <= valueBytes

        /** Whether the packed record still fits into a value after its entry of [range] is replaced by [entry]. */
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

    /** Whether a write of this entry can be packed now, because no write in flight blocks it. */
    fun isReady(job: Job, rangeIndex: Int): Boolean =
        TaskRange(job.id, rangeIndex) !in rangesInFlight && entryOf(job, rangeIndex)?.recordKey !in recordsInFlight

    /** Whether a value can hold [entry] as its only entry. */
    fun fitsValue(range: TaskRange, entry: ByteArray): Boolean = OVERHEAD_BYTES + sizeOf(range, entry.size) <= valueBytes

    /**
     * Returns the writes that apply [changes], in the order of the changes. Each changed entry must have a higher version than the current
     * entry. Entries that must wait for a write in flight, and entries too large for any value, are left out.
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
     * Returns a write of the packed record of [write] with the record's current entries. The rewrite only changes the record's revision, so
     * that a delayed copy of [write] can't be applied. The entries fit into a value, as they did when [write] was packed, because no other
     * writer has changed the record since.
     */
    internal fun rewriteUnchanged(write: PackedWrite): PackedWrite = Draft(write.write.key).write()

    private fun draftWithCapacity(range: TaskRange, entry: ByteArray, drafts: MutableMap<String, Draft>): Draft {
        drafts.values.firstOrNull { hasCapacity(it.bytes, range, entry) }?.let { return it }
        val existingKey = replica.packedRecords.keys.firstOrNull {
            it.startsWith(prefix) && it !in recordsInFlight && it !in drafts && hasCapacity(bytesOf(it), range, entry)
        }
        val key = existingKey ?: unusedKey(drafts.keys)
        return Draft(key).also { drafts[key] = it }
    }

    private fun unusedKey(drafted: Collection<String>): String {
        var number = 0
        while ("$prefix$number".let { it in replica.packedRecords || it in recordsInFlight || it in drafted }) number++
        return "$prefix$number"
    }

    private fun hasCapacity(bytes: Int, range: TaskRange, entry: ByteArray) =
        bytes + sizeOf(range, entry.size) <= fullBytes * NEW_ENTRY_FRACTION

    /** Returns the size in bytes of a packed record's current entries. */
    private fun bytesOf(key: String): Int {
        var sum = OVERHEAD_BYTES
        for (range in replica.packedRecords[key]?.ranges.orEmpty()) {
            val job = replica.jobs[range.job]?.takeIf { it.live != null } ?: continue
            entryOf(job, range.index)?.takeIf { it.recordKey == key }?.let { sum += sizeOf(range, it.bytes) }
        }
        return sum
    }

    private fun sizeOf(range: TaskRange, bytes: Int) = range.job.text.length + bytes + OVERHEAD_BYTES

    /** Must be called before [write] is sent. No entry that depends on the outcome of [write] is packed until [clearInFlight]. */
    fun markInFlight(write: PackedWrite) {
        recordsInFlight += write.write.key
        rangesInFlight += write.ranges
    }

    /** Must be called once the outcome of [write] is known and the replica holds the changes of [write]. */
    fun clearInFlight(write: PackedWrite) {
        recordsInFlight -= write.write.key
        rangesInFlight -= write.ranges
    }

    /** Must be called only when no earlier write can be applied any more. */
    fun clearAllInFlight() {
        recordsInFlight.clear()
        rangesInFlight.clear()
        loggedTooLarge.clear()
    }

    private companion object {
        /** Packed records are read and written as a whole. Larger records would cost more CPU time than the saved writes are worth. */
        const val MAX_RECORD_BYTES = 8 * 1024.0
        const val FULL_FRACTION = 0.9

        /** Entries grow after they are packed, so a packed record accepts new entries only up to this fraction of its full size. */
        const val NEW_ENTRY_FRACTION = 0.75

        /** An upper bound on the encoding overhead of a record, and of each entry, in bytes. */
        const val OVERHEAD_BYTES = 16
        val log = LoggerFactory.getLogger("storage")
    }
}
