package copperglade.safety

import org.slf4j.LoggerFactory
import java.util.EnumMap

/** What must hold whenever something is done, whatever path led there. */
enum class Invariant {
    /** No task is started unless its job is known to be live, released and not cancelled, and the process may start tasks. */
    START_PERMITTED,

    /** No answer renews a worker's lease without stopping the tasks that must not go on running there. */
    ANSWER_STOPS_ENDED_TASKS,

    /** Nothing is sent to a worker without the authority to act. */
    SENT_WITH_AUTHORITY,

    /** No job is ended, and so removed from the live records, while a machine may hold a task of it. */
    ENDED_WITHOUT_ASSIGNMENTS,
}

/** An action that would have broken [invariant] and was refused; [detail] says which, as `key=value` pairs. */
class InvariantViolation(val invariant: Invariant, val detail: String)

/**
 * Counts what the last check before an action has refused. Every path asks [ActionGuard] beforehand, so there is nothing to be counted
 * unless a path forgot to.
 */
class InvariantViolations(private val onViolation: (InvariantViolation) -> Unit = {}) {
    private val counts = EnumMap<Invariant, Int>(Invariant::class.java)

    /** How many there have been in all. */
    val total: Int get() = counts.values.sum()

    /** Counts a refused action; the first, second, fourth, eighth and so on of each invariant is logged. */
    fun record(invariant: Invariant, detail: String) {
        val count = counts.merge(invariant, 1, Int::plus) ?: 1
        if (count.countOneBits() == 1) log.error("invariant_violated violation={} count={} {}", invariant, count, detail)
        onViolation(InvariantViolation(invariant, detail))
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariant")
    }
}
