package copperglade.storage

/** The state of a job's dependencies. Moves from [BLOCKED] to one of the others, and never back. */
enum class DependencyState {
    /** Some dependency isn't known to be done, and none is known to be aborted. */
    BLOCKED,

    /** All dependencies are done: the job may be scheduled. */
    RELEASED,

    /** A dependency was cancelled, and with it the job. */
    ABORTED,
}

/** How a dependency ended, according to the records known here. */
enum class DependencyOutcome(val final: Boolean) {
    /** The job is neither live nor known to have ended: its end record has to be looked up. */
    UNKNOWN(false),
    OPEN(false),
    DONE(true),
    ABORTED(true),
}
