package copperglade.membership

/** Whether this process has the right to act on workers, at the moment of asking. */
interface ActionAuthority {
    /** Whether workers may be answered and commanded. */
    val mayAct: Boolean

    /** Whether tasks may be started, too. */
    val mayStart: Boolean
}
