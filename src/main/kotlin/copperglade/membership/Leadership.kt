package copperglade.membership

import copperglade.protocol.Incarnation
import copperglade.protocol.LeaseId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.protocol.secondsSince
import copperglade.storage.CatchUpOutcome
import copperglade.storage.Condition
import copperglade.storage.Keys
import copperglade.storage.LeaderRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The state of this process in the leader election. */
enum class LeadershipState {
    /** Another controller is the leader, or there is no leader. */
    FOLLOWING,

    /** A request for the leader lease or the write of the leader key is in flight. */
    CAMPAIGNING,

    /** Elected; the replica has not yet read all records that the former leader wrote. */
    CATCHING_UP,

    /** Elected, and the replica has read all records that the former leader wrote. */
    LEADING,
}

/**
 * Leader election. The leader key is attached to a lease of its own, much shorter than a session lease, since no new task starts
 * without a leader. Two processes that both consider themselves the leader do no harm: each write of a leader is conditional on the
 * leader key's [revision].
 */
class Leadership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val membership: Membership,
    private val leaseLength: Duration,
) {
    private var lease = SessionLease(loop, store, leaseLength)
    private var leadingSince = MonotonicTime.NEVER
    private var loggedLeader: Revision? = null

    private var state = LeadershipState.FOLLOWING

    /** The revision of this process's last write of the leader key: the fencing token of all writes of the leader. */
    var revision = Revision.ABSENT
        private set

    /** Whether this process may make decisions as the leader at this moment. */
    val leading: Boolean get() = state == LeadershipState.LEADING && lease.isValid && membership.mayAct

    /** Required in each transaction of the leader: the condition fails once another controller has been elected. */
    val fencingCondition: Condition get() = Condition(Keys.LEADER, revision)

    /** Seconds since this process last became the leader. */
    val leadingForSeconds: Double get() = loop.now().secondsSince(leadingSince)

    /** Starts the election: from now on this process campaigns whenever there is no leader. */
    fun start() {
        replica.addListener { changes -> if (changes.clusterRecordsChanged) logLeader() }
        loop.scheduleRepeating({ if (state == LeadershipState.LEADING) leaseLength / EXTENSIONS_PER_LEASE else CHECK_INTERVAL }, ::tick)
    }

    private fun logLeader() {
        val present = replica.leader
        if (present?.revision == loggedLeader) return
        loggedLeader = present?.revision
        log.info(
            "leader_changed leader={} incarnation={} fencing_token={}",
            present?.value?.member,
            present?.value?.incarnation,
            present?.revision,
        )
    }

    private fun moveTo(next: LeadershipState, reason: String) {
        if (state == next) return
        log.info("leadership_changed from={} to={} reason={}", state, next, reason)
        state = next
    }

    private fun tick() = when (state) {
        LeadershipState.FOLLOWING -> if (isVacant()) campaign() else Unit
        LeadershipState.LEADING -> keepLeading()
        LeadershipState.CAMPAIGNING, LeadershipState.CATCHING_UP -> Unit
    }

    private fun keepLeading() {
        if (replica.leader?.revision != revision) return stepDown("leader_key_overwritten")
        lease.extend { outcome ->
            when (outcome) {
                LeaseExtension.Extended, LeaseExtension.Unconfirmed -> Unit
                LeaseExtension.Lost -> stepDown("leader_lease_lost")
            }
        }
    }

    /** Whether there is no leader key, or a former incarnation of this member wrote it. False while this process may not act. */
    private fun isVacant(): Boolean {
        if (!membership.mayAct) return false
        val present = replica.leader ?: return true
        return present.value.member == membership.self && present.value.incarnation != membership.incarnation
    }

    private fun campaign() {
        val incarnation = membership.incarnation ?: return
        moveTo(LeadershipState.CAMPAIGNING, "leader_vacant")
        lease = SessionLease(loop, store, leaseLength)
        lease.open { outcome ->
            when (outcome) {
                is LeaseOpening.Granted -> writeLeaderKey(outcome.leaseId, incarnation)
                LeaseOpening.Failed -> stepDown("leader_lease_not_granted")
            }
        }
    }

    private fun writeLeaderKey(leaseId: LeaseId, incarnation: Incarnation) {
        val present = replica.leader?.revision ?: Revision.ABSENT
        if (!isVacant()) return stepDown("another_member_elected")
        val record = RecordCodec.encode(LeaderRecord(membership.self, incarnation))
        val transaction = Transaction(
            listOf(Condition(Keys.LEADER, present), Condition(Keys.member(membership.self), membership.revision)),
            listOf(Write.Set(Keys.LEADER, record, leaseId)),
        )
        store.commit(WritePriority.LEASE, transaction) { outcome -> onLeaderKeyOutcome(transaction, outcome) }
    }

    private fun onLeaderKeyOutcome(transaction: Transaction, outcome: TransactionOutcome) = when (outcome) {
        is TransactionOutcome.Applied -> {
            revision = outcome.revision
            replica.applyCommitted(transaction, outcome.revision)
            catchUp()
        }
        is TransactionOutcome.Conflict,
        TransactionOutcome.NoSuchLease,
        TransactionOutcome.Refused,
        TransactionOutcome.Unknown,
        -> stepDown("election_lost")
    }

    /** Reads all records of earlier leaders before the first decision: limits are computed over all of them. */
    private fun catchUp() {
        moveTo(LeadershipState.CATCHING_UP, "elected fencing_token=$revision")
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Current -> lead()
                CatchUpOutcome.Unavailable -> stepDown("replica_not_current")
            }
        }
    }

    private fun lead() {
        leadingSince = loop.now()
        moveTo(LeadershipState.LEADING, "replica_current")
    }

    private fun stepDown(reason: String) {
        lease.end()
        moveTo(LeadershipState.FOLLOWING, reason)
    }

    private companion object {
        const val EXTENSIONS_PER_LEASE = 5
        val CHECK_INTERVAL = 100.milliseconds
        val log = LoggerFactory.getLogger("membership")
    }
}
