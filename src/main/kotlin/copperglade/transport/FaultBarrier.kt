package copperglade.transport

import org.slf4j.LoggerFactory

/**
 * Runs the decisions of a process: timers, requests and replies. A decision that ends in a fault may have changed a part of the
 * state and not the rest. Nothing tells which, so nothing more is decided on that state: the process ends, and its successor
 * reads everything again.
 *
 * Guards against acting on records that reached the replica but not the parts that decide by them.
 *
 * @param endProcess must not return to the state that the fault has left behind.
 */
class FaultBarrier(private val endProcess: (Throwable) -> Unit) {
    /** Whether a decision has ended in a fault: from then on none is run. */
    var hasFailed = false
        private set

    /** Runs [action], unless an earlier one has ended in a fault. */
    fun run(action: () -> Unit) {
        if (hasFailed) return
        try {
            action()
        } catch (fault: Throwable) {
            fail(fault)
        }
    }

    /** Reports a fault outside of a decision that leaves the process as unsound, such as memory that has run out. */
    fun fail(fault: Throwable) {
        if (hasFailed) return
        hasFailed = true
        endProcess(fault)
    }

    companion object {
        /** The exit status after a fault (EX_SOFTWARE of sysexits.h). */
        const val EXIT_STATUS = 70
        private val log = LoggerFactory.getLogger("fault")

        /** Ends this process at once; no shutdown hook may run on what the fault has left behind. */
        fun haltingProcess() = FaultBarrier { fault ->
            try {
                log.error("process_ending reason=decision_fault exit_status={}", EXIT_STATUS, fault)
            } finally {
                Runtime.getRuntime().halt(EXIT_STATUS)
            }
        }
    }
}
