package copperglade.membership

/**
 * Whether this process may act on workers. The values are valid only at the moment they are read: read them immediately before each
 * action, never earlier.
 */
interface ActionAuthority {
    /** Whether this process may reply to workers and send commands to them. */
    val mayAct: Boolean

    /** Whether this process may also start tasks; implies [mayAct]. */
    val mayStartTasks: Boolean
}
