package copperglade.membership

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

enum class LeadershipState { FOLLOWING, CAMPAIGNING, CATCHING_UP, LEADING }

/**
 * Who leads. The leader's key hangs on a session lease of its own, much shorter than a member's, since a leader that is
 * gone holds up every new task; nothing unsafe follows from two leaders, as each write of a leader is conditional on
 * the key's revision.
 */
class Leadership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val membership: Membership,
    private val leaseLength: Duration,
) {
    private var lease = SessionLease(loop, store, leaseLength)
    private var since = MonotonicTime.NEVER
    private var loggedLeader: Revision? = null

    var state = LeadershipState.FOLLOWING
        private set

    /** The revision of the leader's key, condition of everything that the leader writes. */
    var revision = Revision.ABSENT
        private set

    val leading: Boolean get() = state == LeadershipState.LEADING && lease.alive && membership.mayAct
    val condition: Condition get() = Condition(Keys.LEADER, revision)
    val leadingForS: Double get() = loop.now().secondsSince(since)

    fun start() {
        replica.addListener { changes -> if (changes.clusterRecordsChanged) logLeader() }
        loop.again({ if (state == LeadershipState.LEADING) leaseLength / EXTENSIONS_PER_LEASE else LOOK }, ::tick)
    }

    private fun logLeader() {
        val present = replica.leader
        if (present?.revision == loggedLeader) return
        loggedLeader = present?.revision
        log.info("leader={} incarnation={} token={}", present?.value?.member, present?.value?.incarnation, present?.revision)
    }

    private fun moveTo(next: LeadershipState, why: String) {
        if (state == next) return
        log.info("lead {} -> {}: {}", state, next, why)
        state = next
    }

    private fun tick() {
        when (state) {
            LeadershipState.FOLLOWING -> if (vacant()) campaign()
            LeadershipState.LEADING -> {
                if (replica.leader?.revision != revision) {
                    stepDown("the key is no longer ours")
                } else {
                    lease.extend { kept -> if (!kept) stepDown("the hold ran out") }
                }
            }
            LeadershipState.CAMPAIGNING, LeadershipState.CATCHING_UP -> Unit
        }
    }

    /** Nobody leads, or the key was left behind by an earlier life of this very member. */
    private fun vacant(): Boolean {
        if (!membership.mayAct) return false
        val present = replica.leader ?: return true
        return present.value.member == membership.self && present.value.incarnation != membership.incarnation
    }

    private fun campaign() {
        val incarnation = membership.incarnation ?: return
        moveTo(LeadershipState.CAMPAIGNING, "no lead")
        lease = SessionLease(loop, store, leaseLength)
        lease.open { opened ->
            val leaseId = lease.leaseId
            if (!opened || leaseId == null) return@open stepDown("no hold")
            val before = replica.leader?.revision ?: Revision.ABSENT
            if (!vacant()) return@open stepDown("somebody else was faster")
            val record = RecordCodec.encode(LeaderRecord(membership.self, incarnation))
            val transaction = Transaction(
                listOf(Condition(Keys.LEADER, before), Condition(Keys.member(membership.self), membership.revision)),
                listOf(Write.Set(Keys.LEADER, record, leaseId)),
            )
            store.commit(WritePriority.LEASE, transaction) { outcome ->
                if (outcome !is TransactionOutcome.Applied) return@commit stepDown("lost the campaign")
                revision = outcome.revision
                replica.applyCommitted(transaction, outcome.revision)
                catchUp()
            }
        }
    }

    /** What an earlier leader wrote must be known before the first decision: limits are counted over all of it. */
    private fun catchUp() {
        moveTo(LeadershipState.CATCHING_UP, "elected with stamp $revision")
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Unavailable -> stepDown("could not catch up")
                CatchUpOutcome.Current -> {
                    since = loop.now()
                    moveTo(LeadershipState.LEADING, "caught up")
                }
            }
        }
    }

    private fun stepDown(why: String) {
        lease.end()
        moveTo(LeadershipState.FOLLOWING, why)
    }

    private companion object {
        const val EXTENSIONS_PER_LEASE = 5
        val LOOK = 100.milliseconds
        val log = LoggerFactory.getLogger("lead")
    }
}
