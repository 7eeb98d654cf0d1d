package copperglade.membership

import copperglade.protocol.LeaseId
import copperglade.protocol.MonotonicTime
import copperglade.storage.LeaseOutcome
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The outcome of [SessionLease.open]. */
sealed interface LeaseOpening {
    data class Granted(val leaseId: LeaseId) : LeaseOpening

    /** No answer, or a refusal. If the state service has granted the lease nevertheless, the lease expires by itself. */
    data object Failed : LeaseOpening
}

/** The outcome of [SessionLease.extend]. */
sealed interface LeaseExtension {
    data object Extended : LeaseExtension

    /** No usable answer: the lease may have been extended, but is treated as not extended. */
    data object Unconfirmed : LeaseExtension

    /** The lease no longer exists in the state service. */
    data object Lost : LeaseExtension
}

/**
 * A lease in the state service, with a lower bound of its lifetime: [length], counted from when the last successful request was sent,
 * less the allowance for clock drift and a margin. Check [isValid] immediately before each action that relies on the lease.
 */
class SessionLease(private val loop: EventLoop, private val store: StateClient, private val length: Duration) {
    /** The id of the lease; null before the lease is granted and after it is lost or ended. */
    var leaseId: LeaseId? = null
        private set

    /** Until when the lease certainly exists, unless [end] is called. */
    var validUntil = MonotonicTime.NEVER
        private set

    /** When the last successful request for the lease was sent. */
    var renewedAt = MonotonicTime.NEVER
        private set

    val isValid: Boolean get() = leaseId != null && loop.now() < validUntil

    /** Requests a new lease. On [LeaseOpening.Granted], [leaseId] is set before [onOutcome] is called. */
    fun open(onOutcome: (LeaseOpening) -> Unit) {
        val sentAt = loop.now()
        store.openLease(length) { outcome -> onOutcome(onOpenReply(outcome, sentAt)) }
    }

    private fun onOpenReply(outcome: LeaseOutcome, sentAt: MonotonicTime): LeaseOpening = when (outcome) {
        is LeaseOutcome.Granted -> {
            leaseId = outcome.leaseId
            onRenewed(sentAt)
            LeaseOpening.Granted(outcome.leaseId)
        }
        LeaseOutcome.Extended, LeaseOutcome.NoSuchLease, LeaseOutcome.Failed -> LeaseOpening.Failed
    }

    /** Extends the lease. [onOutcome] is not called without a lease, or if the lease was ended or replaced in the meantime. */
    fun extend(onOutcome: (LeaseExtension) -> Unit) {
        val extended = leaseId ?: return
        val sentAt = loop.now()
        store.extendLease(extended) { outcome -> if (leaseId == extended) onOutcome(onExtendReply(outcome, sentAt)) }
    }

    private fun onExtendReply(outcome: LeaseOutcome, sentAt: MonotonicTime): LeaseExtension = when (outcome) {
        LeaseOutcome.Extended -> {
            onRenewed(sentAt)
            LeaseExtension.Extended
        }
        LeaseOutcome.NoSuchLease -> {
            leaseId = null
            LeaseExtension.Lost
        }
        is LeaseOutcome.Granted, LeaseOutcome.Failed -> LeaseExtension.Unconfirmed
    }

    /** Drops the lease at once and requests its end from the state service, without waiting for the answer. */
    fun end() {
        leaseId?.let { store.endLease(it) }
        leaseId = null
    }

    private fun onRenewed(sentAt: MonotonicTime) {
        val until = sentAt + length * (1.0 - CLOCK_DRIFT_ALLOWANCE) - EXPIRY_MARGIN
        if (until > validUntil) validUntil = until
        if (sentAt > renewedAt) renewedAt = sentAt
    }

    companion object {
        /** Clocks drift apart by at most 0.05%; the allowance is twice that. */
        const val CLOCK_DRIFT_ALLOWANCE = 0.001
        private val EXPIRY_MARGIN = 100.milliseconds
    }
}
