package copperglade.transport

import org.slf4j.LoggerFactory

/**
 * Runs the actions of a process (timers, requests and replies) and ends the process after the first uncaught exception.
 *
 * An action that throws may have changed the in-memory state only partly; for instance, the replica may hold a record that the
 * components which act on it have not processed. No further action runs on such a state: the process ends, and its successor reads all
 * state again.
 *
 * @param endProcess ends the process with the given exception as cause; must not continue on the inconsistent state.
 */
class FaultBarrier(private val endProcess: (Throwable) -> Unit) {
    /** Whether an action has thrown, or [fail] was called; from then on no action is run. */
    var hasFailed = false
        private set

    /** Runs [action], unless the barrier has failed. */
    fun run(action: () -> Unit) {
        if (hasFailed) return
        try {
            action()
        } catch (fault: Throwable) {
            fail(fault)
        }
    }

    /** Ends the process for a [fault] outside of an action after which the process can't continue, such as an [OutOfMemoryError]. */
    fun fail(fault: Throwable) {
        if (hasFailed) return
        hasFailed = true
        endProcess(fault)
    }

    companion object {
        /** The exit status after a fault (`EX_SOFTWARE` in `sysexits.h`). */
        const val EXIT_STATUS = 70
        private val log = LoggerFactory.getLogger("fault")

        /** A barrier that halts this process at once: shutdown hooks must not run on the inconsistent state. */
        fun haltingProcess() = FaultBarrier { fault ->
            try {
                log.error("process_ending reason=decision_fault exit_status={}", EXIT_STATUS, fault)
            } finally {
                Runtime.getRuntime().halt(EXIT_STATUS)
            }
        }
    }
}
