package copperglade.tasks

/** What the failures on a machine say about it, see [FailureEvidence]. */
enum class MachineVerdict {
    /** Nothing speaks against the machine. */
    HEALTHY,

    /** Tasks of several jobs have failed, and all of these jobs fail on other machines as well: the jobs are as likely at fault. */
    AMBIGUOUS,

    /** Tasks of several jobs have failed, and there is no better explanation than the machine, but no proof either. */
    SUSPECTED,

    /** Tasks of several jobs have failed that were then completed on other machines. */
    FAULTY,
}
