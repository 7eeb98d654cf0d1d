package copperglade.transport

import org.slf4j.LoggerFactory

/**
 * Runs the decisions of a process: timers, requests and answers. A decision that ends in a fault may have changed a part of the
 * state and not the rest. Nothing tells which, so nothing more is decided on that state: the process ends, whoever runs it starts
 * it anew, and it reads everything again.
 *
 * Guards against acting on records that reached the replica but not the parts that decide by them. With faults swallowed, jobs after a
 * cancelled one stayed queued for ever, tasks of cancelled jobs were started, and the watch of the state service ended unnoticed.
 *
 * @param endProcess must not come back to the state that the fault has left behind.
 */
class FaultBarrier(private val endProcess: (Throwable) -> Unit) {
    /** Whether a decision has ended in a fault: from then on none is run. */
    var broken = false
        private set

    fun run(action: () -> Unit) {
        if (broken) return
        try {
            action()
        } catch (fault: Throwable) {
            broken(fault)
        }
    }

    /** A fault that was met outside of a decision, but leaves the process as unsound: memory has run out. */
    fun broken(fault: Throwable) {
        if (broken) return
        broken = true
        endProcess(fault)
    }

    companion object {
        /** The exit status after a fault (EX_SOFTWARE of sysexits.h). */
        const val EXIT_STATUS = 70
        private val log = LoggerFactory.getLogger("fault")

        /** Ends this process at once; no shutdown hook may run on what the fault has left behind. */
        fun endingTheProcess() = FaultBarrier { fault ->
            try {
                log.error("a decision ended in a fault: this process ends, and has to be started anew", fault)
            } finally {
                Runtime.getRuntime().halt(EXIT_STATUS)
            }
        }
    }
}
