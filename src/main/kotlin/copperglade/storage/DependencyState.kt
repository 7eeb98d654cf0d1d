package copperglade.storage

/** The state of a job's dependencies. The state moves from [BLOCKED] to [RELEASED] or [ABORTED] and never changes again. */
enum class DependencyState {
    /** At least one dependency is not confirmed as done, and none is confirmed as aborted. */
    BLOCKED,

    /** All dependencies are done, so the job may be scheduled. */
    RELEASED,

    /** A dependency was cancelled, which aborts the job too. */
    ABORTED,
}

/** The outcome of a dependency according to the replica and the cached end records. */
enum class DependencyOutcome(val final: Boolean) {
    /** The job is not live and its end record is not cached; the record must be read from the state service. */
    UNKNOWN(false),
    OPEN(false),
    DONE(true),
    ABORTED(true),
}
