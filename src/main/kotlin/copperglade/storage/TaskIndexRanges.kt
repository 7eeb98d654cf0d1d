package copperglade.storage

import java.util.BitSet

/** Formats and parses sets of task indices as text, such as `0-3,7`. */
internal object TaskIndexRanges {
    fun format(set: BitSet): String = buildString {
        var start = set.nextSetBit(0)
        while (start >= 0) {
            val end = set.nextClearBit(start) - 1
            if (isNotEmpty()) append(',')
            append(start)
            if (end > start) append('-').append(end)
            start = set.nextSetBit(end + 1)
        }
    }

    /** Parses [text]. Throws [NumberFormatException] or [IndexOutOfBoundsException] if the text is malformed. */
    fun parse(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (range in text.split(',')) {
            val dash = range.indexOf('-')
            if (dash < 0) {
                set.set(range.toInt())
            } else {
                set.set(range.substring(0, dash).toInt(), range.substring(dash + 1).toInt() + 1)
            }
        }
        return set
    }
}
