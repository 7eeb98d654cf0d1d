package copperglade.storage

import copperglade.protocol.Revision

/** A change of one key in the state service. */
internal sealed interface Change {
    val key: String
    val revision: Revision

    class Set(override val key: String, val value: EncodedRecord, override val revision: Revision) : Change

    class Deleted(override val key: String, override val revision: Revision) : Change
}

/** The result of a read of changes. */
internal sealed interface ChangesOutcome {
    /** All changes up to [storeRevision], in the order of their revisions. */
    class Received(val storeRevision: Revision, val changes: List<Change>) : ChangesOutcome

    /** The service has discarded some of the requested changes, so the caller must list all keys again. */
    data object TooOld : ChangesOutcome

    data object Failed : ChangesOutcome
}
