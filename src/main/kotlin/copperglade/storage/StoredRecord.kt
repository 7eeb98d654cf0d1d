package copperglade.storage

import copperglade.protocol.Revision

/** A decoded record with the revision of its last write. */
class StoredRecord<T>(val value: T, val revision: Revision)

/** An entry of a packed record that counts its changes: entries of one task range with the same version are the same. */
interface Versioned {
    val version: Int
}
