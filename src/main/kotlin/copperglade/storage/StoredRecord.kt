package copperglade.storage

import copperglade.protocol.Revision

/** A decoded record and the revision of the record's last write. */
class StoredRecord<T>(val value: T, val revision: Revision)

/** An entry of a packed record with a change counter. Two entries of a task range with the same version have the same content. */
interface Versioned {
    val version: Int
}
