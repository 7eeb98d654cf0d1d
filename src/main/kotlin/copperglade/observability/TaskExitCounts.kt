package copperglade.observability

import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.TreeMap
import kotlin.time.Duration.Companion.seconds

/** Counts how tasks exit, and logs the counts in one line a second while any task exits otherwise than completed. */
class TaskExitCounts(private val loop: EventLoop) {
    private val counts = TreeMap<String, Int>()

    /** Starts logging the counts. */
    fun start() = loop.scheduleRepeating({ INTERVAL }, ::logCounts)

    /** Counts an exit for [cause]. */
    fun record(cause: String) {
        counts.merge(cause, 1, Int::plus)
    }

    private fun logCounts() {
        if (counts.keys.any { it != COMPLETED }) {
            log.info("task_exits {}", counts.entries.joinToString(" ") { (cause, count) -> "$cause=$count" })
        }
        counts.clear()
    }

    companion object {
        /** The cause of an ordinary exit, which alone isn't logged. */
        const val COMPLETED = "done"
        private val INTERVAL = 1.seconds
        private val log = LoggerFactory.getLogger("agents")
    }
}
