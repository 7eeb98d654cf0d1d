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

/** The state of this process's membership. */
enum class MemberState {
    /** No session lease, and no request for one in flight. */
    NOT_MEMBER,

    /** A request for a session lease or the write of the member key is in flight. */
    JOINING,

    /** The member key is written, and the state service has not reported its session lease as lost. See [Membership.mayAct] for expiry. */
    MEMBER,
}

/**
 * This process's membership among the controllers: a session lease, and the member key attached to it. After the loss of the lease,
 * this process at once tries to join under a new incarnation.
 */
class Membership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leaseEndorsement: LeaseEndorsement,
    val self: MemberId,
    private val limits: AuthorityLimits,
) : ActionAuthority {
    private var lease = SessionLease(loop, store, limits.sessionLeaseLength)

    private var state = MemberState.NOT_MEMBER

    /** The revision of the member key: a condition of writes that require that this incarnation is still a member. */
    var revision = Revision.ABSENT
        private set

    /** The number of the session lease, which the state service never reuses; null while this process is not a member. */
    val incarnation: Incarnation?
        get() = lease.leaseId?.takeIf { state == MemberState.MEMBER }?.let { Incarnation(it.number) }

    /** Whether the session lease or endorsements rule out that this process's shards were granted to another controller. */
    private val ownershipIntact: Boolean
        get() = state == MemberState.MEMBER && (lease.isValid || loop.now() < leaseEndorsement.endorsedUntil)

    /**
     * Whether this process may act at this moment, by its session lease or, in an outage, by the endorsements of its peers. In either
     * case the records must be recent enough that a cancellation which they don't contain yet is still carried out in time.
     */
    override val mayAct: Boolean
        get() = ownershipIntact && recordsComplete && loop.now() < replica.snapshotTakenAt + limits.actionStalenessLimit

    /** False during a reload of the replica: a part of the records is missing then, so they are no basis for decisions. */
    private val recordsComplete: Boolean get() = replica.state == ReplicaState.CURRENT

    /** Milliseconds for which [mayAct] stays true without further answers from the state service or peers; 0 if it is false. */
    val authorityRemainingMillis: Long
        get() {
            if (!mayAct) return 0
            val ownershipUntil = maxOf(lease.validUntil, leaseEndorsement.endorsedUntil)
            return minOf(ownershipUntil, replica.snapshotTakenAt + limits.actionStalenessLimit).millis - loop.now().millis
        }

    /**
     * Whether tasks may be started. Starts require newer records than running tasks do, since no task may start after the user has
     * received the confirmation of its cancellation. Either the state service has answered within the limit, or all peers have endorsed
     * this process: the state service answers no controller then, so no cancellation can be confirmed that the peers have not sent to
     * this process before.
     */
    override val mayStartTasks: Boolean
        get() = mayAct && (loop.now() < replica.snapshotTakenAt + limits.startStalenessLimit || loop.now() < leaseEndorsement.endorsedUntil)

    /**
     * Whether this process may still extend worker leases, even if it may no longer send commands because its session lease has expired
     * without an answer from the state service. This keeps the tasks of a partitioned zone running. The next owners of the shards wait
     * for the end of this period ([FormerIncarnations]).
     */
    val mayExtendWorkerLeases: Boolean
        get() = state == MemberState.MEMBER && recordsComplete &&
            loop.now() < minOf(lease.renewedAt, replica.snapshotTakenAt) + limits.actionStalenessLimit

    /** The longest time that [mayExtendWorkerLeases] may stay true after the session lease has ended, measured by any clock. */
    val gracePeriod: Duration
        get() = (limits.actionStalenessLimit - limits.sessionLeaseLength) * (1.0 + 2 * SessionLease.CLOCK_DRIFT_ALLOWANCE) + GRACE_MARGIN

    /** Called on each change of the [MemberState], and so on each change of [incarnation]. */
    var onChange: () -> Unit = {}

    /** Joins, and extends the session lease from then on. */
    fun start() {
        leaseEndorsement.ownershipIntact = { ownershipIntact }
        join()
        loop.scheduleRepeating({ if (lease.isValid) limits.sessionLeaseLength / EXTENSIONS_PER_LEASE else RETRY_INTERVAL }) {
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
        lease = SessionLease(loop, store, limits.sessionLeaseLength)
        lease.open { outcome ->
            when (outcome) {
                is LeaseOpening.Granted -> register()
                LeaseOpening.Failed -> retryLater("session_lease_not_granted")
            }
        }
    }

    /**
     * Writes the member key once the replica is current, so that the key of an earlier process of this member is replaced and not
     * considered absent.
     */
    private fun register() {
        val leaseId = lease.leaseId ?: return retryLater("session_lease_lost")
        if (replica.state != ReplicaState.CURRENT && lease.isValid) {
            loop.after(REPLICA_CHECK_INTERVAL) { register() }
            return
        }
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Current -> writeMemberKey(leaseId)
                CatchUpOutcome.Unavailable -> retryLater("replica_not_current")
            }
        }
    }

    /** An existing key is from an earlier process of this member, which has terminated: only one process per member runs at a time. */
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
