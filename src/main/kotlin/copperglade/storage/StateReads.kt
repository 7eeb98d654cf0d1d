package copperglade.storage

import copperglade.protocol.Revision

/** The result of a read of one key. */
sealed interface ReadOutcome {
    class Present(val value: EncodedRecord, val revision: Revision) : ReadOutcome

    data object Absent : ReadOutcome

    /** The service did not answer, the request budget is exhausted, or the read queue is full. */
    data object Failed : ReadOutcome
}

/** A record returned by a listing. */
internal class ListedRecord(val key: String, val value: EncodedRecord, val revision: Revision)

/** The result of a listing. */
internal sealed interface ListOutcome {
    /**
     * One page of a listing.
     *
     * @property more whether there are records after the last of [records].
     * @property storeRevision the store's revision when the page was listed.
     */
    class Received(val records: List<ListedRecord>, val more: Boolean, val storeRevision: Revision) : ListOutcome

    data object Failed : ListOutcome
}
