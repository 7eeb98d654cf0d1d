package copperglade.membership

import copperglade.protocol.Incarnation
import copperglade.protocol.LeaseId
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.LeaseOutcome
import copperglade.storage.MemberRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A session lease, and our own reckoning of how long it surely lives: from when the last successful request was sent, less
 * the drift of the clocks and a margin. Whoever acts on the session lease asks [alive] at the moment of acting.
 */
class SessionLease(private val loop: EventLoop, private val store: StateClient, private val length: Duration) {
    var leaseId: LeaseId? = null
        private set
    var surelyUntil = MonotonicTime.NEVER
        private set

    /** When the last successful request for it was sent. */
    var renewedAt = MonotonicTime.NEVER
        private set

    val alive: Boolean get() = leaseId != null && loop.now() < surelyUntil

    fun open(done: (Boolean) -> Unit) {
        val sent = loop.now()
        store.openLease(length) { outcome ->
            if (outcome is LeaseOutcome.Granted) {
                leaseId = outcome.leaseId
                renewed(sent)
            }
            done(outcome is LeaseOutcome.Granted)
        }
    }

    /** [done] gets false once the service no longer knows the session lease. */
    fun extend(done: (Boolean) -> Unit) {
        val extended = leaseId ?: return
        val sent = loop.now()
        store.extendLease(extended) { outcome ->
            if (leaseId != extended) return@extendLease
            if (outcome == LeaseOutcome.Extended) renewed(sent)
            if (outcome == LeaseOutcome.Gone) {
                leaseId = null
                done(false)
            } else {
                done(true)
            }
        }
    }

    fun end() {
        leaseId?.let { store.endLease(it) }
        leaseId = null
    }

    private fun renewed(sent: MonotonicTime) {
        val until = sent + length * (1.0 - DRIFT) - MARGIN
        if (until > surelyUntil) surelyUntil = until
        if (sent > renewedAt) renewedAt = sent
    }

    companion object {
        /** Clocks drift apart by at most 0.05%; twice that is allowed for. */
        const val DRIFT = 0.001
        private val MARGIN = 100.milliseconds
    }
}
