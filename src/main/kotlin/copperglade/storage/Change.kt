package copperglade.storage

import copperglade.protocol.Revision

/** A change of one key. */
internal sealed interface Change {
    val key: String
    val revision: Revision

    class Set(override val key: String, val value: EncodedRecord, override val revision: Revision) : Change

    class Deleted(override val key: String, override val revision: Revision) : Change
}

/** The answer to a read of changes. */
internal sealed interface ChangesOutcome {
    /** All changes up to [storeRevision], in their order. */
    class Received(val storeRevision: Revision, val changes: List<Change>) : ChangesOutcome

    /** The service no longer has all the changes asked for: all keys have to be listed again. */
    data object TooOld : ChangesOutcome

    data object Failed : ChangesOutcome
}
