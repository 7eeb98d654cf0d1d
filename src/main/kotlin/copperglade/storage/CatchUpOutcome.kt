package copperglade.storage

/** How [Replica.catchUp] ended. */
sealed interface CatchUpOutcome {
    /** The replica holds every change that was made before the call. */
    data object Current : CatchUpOutcome

    /** The state service did not answer, the replica is loading, or too many callers wait: the replica may be out of date. */
    data object Unavailable : CatchUpOutcome
}
