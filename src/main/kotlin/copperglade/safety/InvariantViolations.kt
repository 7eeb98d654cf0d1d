package copperglade.safety

import org.slf4j.LoggerFactory
import java.util.EnumMap

/** What must hold whenever something is done, whatever path led there. */
enum class Invariant {
    /** No task is started whose job is not known to be live, released and wanted, or without the right to start. */
    START_PERMITTED,

    /** No answer renews a worker's lease without stopping what is known to be over there. */
    ANSWER_STOPS_ENDED_TASKS,

    /** Nothing is sent to a worker without the right to act. */
    SENT_WITH_AUTHORITY,

    /** No job is ended, and so forgotten, while a machine may hold a task of it. */
    ENDED_WITHOUT_ASSIGNMENTS,
}

/** A break of an [Invariant] that was caught and refused. */
class InvariantViolation(val invariant: Invariant, val what: String)

/**
 * Counts what the last check before an action has refused. Every path asks [ActionGuard] beforehand, so there is nothing to be counted
 * unless a path forgot to.
 */
class InvariantViolations(private val report: (InvariantViolation) -> Unit = {}) {
    private val counts = EnumMap<Invariant, Int>(Invariant::class.java)

    /** How many there have been in all. */
    val total: Int get() = counts.values.sum()

    /** Takes note of a refused action; the first, second, fourth, eighth and so on of each kind is logged. */
    fun refused(invariant: Invariant, what: String) {
        val count = counts.merge(invariant, 1, Int::plus) ?: 1
        if (count.countOneBits() == 1) log.error("violation={} count={} {}", invariant, count, what)
        report(InvariantViolation(invariant, what))
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariant")
    }
}
