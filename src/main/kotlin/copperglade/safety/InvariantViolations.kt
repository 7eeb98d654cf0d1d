package copperglade.safety

import org.slf4j.LoggerFactory
import java.util.EnumMap

/** The conditions that every action must meet, regardless of the code path that leads to the action. */
enum class Invariant {
    /** No task is started unless the records show its job as live, released and not cancelled, and this controller may start tasks. */
    START_PERMITTED,

    /** No task is started by a direct message: only a heartbeat response can't be executed again. */
    START_WITH_RESPONSE,

    /** No answer renews a worker's lease without stopping the worker's tasks that must not continue to run. */
    ANSWER_STOPS_ENDED_TASKS,

    /** No message is sent to a worker without the authority to act. */
    SENT_WITH_AUTHORITY,

    /** No job is ended, and so removed from the live records, while a machine may still run a task of the job. */
    ENDED_WITHOUT_ASSIGNMENTS,
}

/** A refused action that would have violated [invariant]; [detail] identifies the action as `key=value` pairs. */
class InvariantViolation(val invariant: Invariant, val detail: String)

/**
 * Counts the actions refused by the final check. Every code path checks with [ActionGuard] beforehand, so a count above zero means that a
 * path has omitted the earlier check.
 */
class InvariantViolations(private val onViolation: (InvariantViolation) -> Unit = {}) {
    private val counts = EnumMap<Invariant, Int>(Invariant::class.java)

    /** The total number of violations. */
    val total: Int get() = counts.values.sum()

    /** Counts a refused action. For each invariant, the first, second, fourth, eighth and so on are logged. */
    fun record(invariant: Invariant, detail: String) {
        val count = counts.merge(invariant, 1, Int::plus) ?: 1
        if (count.countOneBits() == 1) log.error("invariant_violated violation={} count={} {}", invariant, count, detail)
        onViolation(InvariantViolation(invariant, detail))
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariant")
    }
}
