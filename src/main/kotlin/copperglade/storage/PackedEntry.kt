package copperglade.storage

/**
 * A decoded entry of a packed record.
 *
 * @property recordKey the key of the packed record that holds this entry.
 */
class PackedEntry<T>(val value: T, val recordKey: String, encode: (T) -> ByteArray) {
    /** The size of the encoded entry in bytes. Computed lazily, because only the record's writer needs the size. */
    val bytes: Int by lazy(LazyThreadSafetyMode.NONE) { encode(value).size }
}
