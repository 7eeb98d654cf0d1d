package copperglade.storage

import copperglade.protocol.Revision

/** The answer to a read of one key. */
sealed interface ReadOutcome {
    class Present(val value: EncodedRecord, val revision: Revision) : ReadOutcome

    data object Absent : ReadOutcome

    /** The service did not answer, or there is no budget for the read. */
    data object Failed : ReadOutcome
}

/** A record as a listing returns it. */
internal class ListedRecord(val key: String, val value: EncodedRecord, val revision: Revision)

/** The answer to a listing. */
internal sealed interface ListOutcome {
    /**
     * One page of a listing.
     *
     * @property more whether there are records after the last of [records].
     * @property storeRevision the store's revision when it was listed.
     */
    class Received(val records: List<ListedRecord>, val more: Boolean, val storeRevision: Revision) : ListOutcome

    data object Failed : ListOutcome
}
