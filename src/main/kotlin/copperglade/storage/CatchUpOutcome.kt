package copperglade.storage

/** The result of [Replica.catchUp]. */
sealed interface CatchUpOutcome {
    /** The replica holds every change that was committed before the call. */
    data object Current : CatchUpOutcome

    /** The state service did not answer, the replica is loading, or too many callers are waiting. The replica may be stale. */
    data object Unavailable : CatchUpOutcome
}
