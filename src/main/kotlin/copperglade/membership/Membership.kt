package copperglade.membership

import copperglade.protocol.Incarnation
import copperglade.protocol.LeaseId
import copperglade.protocol.MemberId
import copperglade.protocol.Revision
import copperglade.storage.CatchUpOutcome
import copperglade.storage.Condition
import copperglade.storage.Keys
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

/** How far this process has got with its membership. */
enum class MemberState {
    /** No session lease, and no request for one under way. */
    NOT_MEMBER,

    /** A session lease is being asked for, or the member key is being written. */
    JOINING,

    /** The member key was written and its session lease is not known to have been lost. It may have expired: see [Membership.mayAct]. */
    MEMBER,
}

/**
 * This process's membership among the controllers: a session lease, and the member key attached to it. One that was lost is followed
 * at once by an attempt to join under a new incarnation.
 */
class Membership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leaseEndorsement: LeaseEndorsement,
    val self: MemberId,
    private val limits: AuthorityLimits,
) : ActionAuthority {
    private var lease = SessionLease(loop, store, limits.sessionLease)

    private var state = MemberState.NOT_MEMBER

    /** The revision of the member key: a condition of writes that need this incarnation to be a member still. */
    var revision = Revision.ABSENT
        private set

    /** The number of the session lease, which the state service gives only once; null while this process is no member. */
    val incarnation: Incarnation?
        get() = lease.leaseId?.takeIf { state == MemberState.MEMBER }?.let { Incarnation(it.number) }

    /** Whether shards that this process owns can't have been granted to anybody else: by the session lease, or by endorsements. */
    private val ownershipIntact: Boolean
        get() = state == MemberState.MEMBER && (lease.alive || loop.now() < leaseEndorsement.endorsedUntil)

    /**
     * Whether this process may act at this very moment: on its session lease, or on the endorsements of its peers in an outage. In
     * either case its records must be recent enough for a cancellation it has not heard of to be carried out in time.
     */
    override val mayAct: Boolean
        get() = ownershipIntact && recordsComplete && loop.now() < replica.readTime + limits.staleness

    /** While the records are reloaded, a part of them is missing: nothing may be decided on the rest. */
    private val recordsComplete: Boolean get() = replica.state == ReplicaState.CURRENT

    /** For how long [mayAct] will hold if nothing more is heard, in milliseconds; 0 where it doesn't. */
    val authorityRemainingMillis: Long
        get() {
            if (!mayAct) return 0
            val ownershipUntil = maxOf(lease.aliveUntil, leaseEndorsement.endorsedUntil)
            return minOf(ownershipUntil, replica.readTime + limits.staleness).millis - loop.now().millis
        }

    /**
     * Whether tasks may be started. For that, the records must be newer than for keeping running tasks alive, since no task may
     * start after its user was told that it is cancelled: either the state service has answered a moment ago, or all peers state that
     * it answers nobody, so that nothing can be confirmed that they haven't told us before.
     */
    override val mayStart: Boolean
        get() = mayAct && (loop.now() < replica.readTime + limits.startStaleness || loop.now() < leaseEndorsement.endorsedUntil)

    /**
     * Whether workers' leases may still be extended, though nothing may be commanded any more: the session lease has expired
     * without an answer of the state service. A zone that is cut off keeps its tasks this way. Successors allow for it
     * ([FormerIncarnations]).
     */
    val mayExtendWorkerLeases: Boolean
        get() = state == MemberState.MEMBER && recordsComplete && loop.now() < minOf(lease.renewedAt, replica.readTime) + limits.staleness

    /** For how long [mayExtendWorkerLeases] may hold beyond the end of the session lease, by any clock. */
    val gracePeriod: Duration
        get() = (limits.staleness - limits.sessionLease) * (1.0 + 2 * SessionLease.DRIFT) + GRACE_MARGIN

    /** Called on each change of the [MemberState], hence whenever [incarnation] has changed. */
    var onChange: () -> Unit = {}

    /** Joins, and keeps the session lease alive from then on. */
    fun start() {
        leaseEndorsement.ownershipIntact = { ownershipIntact }
        join()
        loop.scheduleRepeating({ if (lease.alive) limits.sessionLease / EXTENSIONS_PER_LEASE else RETRY_INTERVAL }) {
            if (state == MemberState.MEMBER) lease.extend(::onLeaseExtension)
        }
    }

    private fun onLeaseExtension(outcome: LeaseExtension) = when (outcome) {
        LeaseExtension.Extended, LeaseExtension.Unconfirmed -> Unit
        LeaseExtension.Lost -> {
            moveTo(MemberState.NOT_MEMBER, "session_lease_lost")
            join()
        }
    }

    private fun join() {
        if (state != MemberState.NOT_MEMBER) return
        moveTo(MemberState.JOINING, "opening_session_lease")
        lease = SessionLease(loop, store, limits.sessionLease)
        lease.open { outcome ->
            when (outcome) {
                is LeaseOpening.Granted -> register()
                LeaseOpening.Failed -> retryLater("session_lease_not_granted")
            }
        }
    }

    /** Writes the member key once the records are known, so that a predecessor's key is replaced and not taken for absent. */
    private fun register() {
        val leaseId = lease.leaseId ?: return retryLater("session_lease_lost")
        if (replica.state != ReplicaState.CURRENT && lease.alive) {
            loop.after(REPLICA_CHECK_INTERVAL) { register() }
            return
        }
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Current -> writeMemberKey(leaseId)
                CatchUpOutcome.Unavailable -> retryLater("records_unknown")
            }
        }
    }

    /** A key that is there is our predecessor's, who is dead: only one process of a name runs at a time. */
    private fun writeMemberKey(leaseId: LeaseId) {
        val present = replica.members[self]?.revision ?: Revision.ABSENT
        val record = RecordCodec.encode(MemberRecord(Incarnation(leaseId.number)))
        val transaction = Transaction(
            listOf(Condition(Keys.member(self), present)),
            listOf(Write.Set(Keys.member(self), record, leaseId)),
        )
        store.commit(WritePriority.LEASE, transaction) { outcome -> onMemberKeyOutcome(leaseId, transaction, outcome) }
    }

    private fun onMemberKeyOutcome(leaseId: LeaseId, transaction: Transaction, outcome: TransactionOutcome) = when (outcome) {
        is TransactionOutcome.Applied -> {
            revision = outcome.revision
            replica.applyCommitted(transaction, outcome.revision)
            moveTo(MemberState.MEMBER, "registered incarnation=$leaseId")
        }
        is TransactionOutcome.Conflict,
        TransactionOutcome.NoSuchLease,
        TransactionOutcome.Refused,
        TransactionOutcome.Unknown,
        -> retryLater("registration_failed")
    }

    private fun retryLater(reason: String) {
        lease.end()
        moveTo(MemberState.NOT_MEMBER, reason)
        loop.after(RETRY_INTERVAL) { join() }
    }

    private fun moveTo(next: MemberState, reason: String) {
        if (state == next) return
        log.info("membership_changed from={} to={} reason={}", state, next, reason)
        state = next
        onChange()
    }

    private companion object {
        const val EXTENSIONS_PER_LEASE = 8
        val GRACE_MARGIN = 500.milliseconds
        val RETRY_INTERVAL = 300.milliseconds
        val REPLICA_CHECK_INTERVAL = 20.milliseconds
        val log = LoggerFactory.getLogger("membership")
    }
}
