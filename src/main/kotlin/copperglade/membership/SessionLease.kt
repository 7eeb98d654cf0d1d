package copperglade.membership

import copperglade.protocol.LeaseId
import copperglade.protocol.MonotonicTime
import copperglade.storage.LeaseOutcome
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What came of [SessionLease.open]. */
sealed interface LeaseOpening {
    data class Granted(val leaseId: LeaseId) : LeaseOpening

    /** No answer, or a refusal. A lease that was granted all the same expires by itself. */
    data object Failed : LeaseOpening
}

/** What came of [SessionLease.extend]. */
sealed interface LeaseExtension {
    data object Extended : LeaseExtension

    /** No usable answer: the lease may or may not have been extended, and is counted as if it had not. */
    data object Unconfirmed : LeaseExtension

    /** The state service no longer knows the lease. */
    data object Lost : LeaseExtension
}

/**
 * A lease in the state service, with a lower bound of its lifetime: [length] from when the last successful request was sent, less
 * the drift of the clocks and a margin. Whoever acts on the lease asks [alive] at the moment of acting.
 */
class SessionLease(private val loop: EventLoop, private val store: StateClient, private val length: Duration) {
    /** The lease's id; null before it is granted and after it is lost or ended. */
    var leaseId: LeaseId? = null
        private set

    /** Until when the lease certainly exists, unless it is ended. */
    var aliveUntil = MonotonicTime.NEVER
        private set

    /** When the last successful request for the lease was sent. */
    var renewedAt = MonotonicTime.NEVER
        private set

    val alive: Boolean get() = leaseId != null && loop.now() < aliveUntil

    /** Asks for a new lease. On [LeaseOpening.Granted], [leaseId] is set before [onOutcome] is called. */
    fun open(onOutcome: (LeaseOpening) -> Unit) {
        val sentAt = loop.now()
        store.openLease(length) { outcome -> onOutcome(onOpenReply(outcome, sentAt)) }
    }

    private fun onOpenReply(outcome: LeaseOutcome, sentAt: MonotonicTime): LeaseOpening = when (outcome) {
        is LeaseOutcome.Granted -> {
            leaseId = outcome.leaseId
            renewed(sentAt)
            LeaseOpening.Granted(outcome.leaseId)
        }
        LeaseOutcome.Extended, LeaseOutcome.NoSuchLease, LeaseOutcome.Failed -> LeaseOpening.Failed
    }

    /** Extends the lease. Without a lease, or if it was ended or replaced in the meantime, [onOutcome] is not called. */
    fun extend(onOutcome: (LeaseExtension) -> Unit) {
        val extended = leaseId ?: return
        val sentAt = loop.now()
        store.extendLease(extended) { outcome -> if (leaseId == extended) onOutcome(onExtendReply(outcome, sentAt)) }
    }

    private fun onExtendReply(outcome: LeaseOutcome, sentAt: MonotonicTime): LeaseExtension = when (outcome) {
        LeaseOutcome.Extended -> {
            renewed(sentAt)
            LeaseExtension.Extended
        }
        LeaseOutcome.NoSuchLease -> {
            leaseId = null
            LeaseExtension.Lost
        }
        is LeaseOutcome.Granted, LeaseOutcome.Failed -> LeaseExtension.Unconfirmed
    }

    /** Gives the lease up at once, and asks the state service to end it; nothing waits for the answer. */
    fun end() {
        leaseId?.let { store.endLease(it) }
        leaseId = null
    }

    private fun renewed(sentAt: MonotonicTime) {
        val until = sentAt + length * (1.0 - DRIFT) - MARGIN
        if (until > aliveUntil) aliveUntil = until
        if (sentAt > renewedAt) renewedAt = sentAt
    }

    companion object {
        /** Clocks drift apart by at most 0.05%; twice that is allowed for. */
        const val DRIFT = 0.001
        private val MARGIN = 100.milliseconds
    }
}
