package copperglade.membership

/**
 * Whether this process may act on workers. The answer holds only at the moment of asking: whoever acts asks immediately before it
 * does, never earlier.
 */
interface ActionAuthority {
    /** Whether workers may be answered and commanded. */
    val mayAct: Boolean

    /** Whether tasks may be started, too; implies [mayAct]. */
    val mayStartTasks: Boolean
}
