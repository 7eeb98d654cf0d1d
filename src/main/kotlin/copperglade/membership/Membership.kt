package copperglade.membership

import copperglade.protocol.Incarnation
import copperglade.protocol.LeaseId
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.storage.CatchUpOutcome
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

enum class MemberState { OUTSIDE, JOINING, MEMBER }

/** This process's place among the controllers: a session lease, and `member/<id>` attached to it. */
class Membership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leaseEndorsement: LeaseEndorsement,
    val self: MemberId,
    private val leaseLength: Duration,
    private val stalenessLimit: Duration,
    private val startLimit: Duration,
) : ActionAuthority {
    private var lease = SessionLease(loop, store, leaseLength)

    var state = MemberState.OUTSIDE
        private set
    var revision = Revision.ABSENT
        private set

    /** The session lease's number stands for this life of the process: the state service gives none twice. */
    val incarnation: Incarnation? get() = lease.leaseId
        ?.takeIf {
            state == MemberState.MEMBER
        }?.let { Incarnation(it.number) }

    /**
     * Whether this process may act at this very moment: on its session lease, or on what its peers endorsed in an outage. In
     * either case its knowledge must be recent enough for a cancellation it has not heard of to be met in time.
     */
    override val mayAct: Boolean
        get() = state == MemberState.MEMBER && (lease.alive || loop.now() < leaseEndorsement.endorsedUntil) &&
            knowsRecords && loop.now() < replica.readTime + stalenessLimit

    /** While the records are loaded anew, a part of them is missing: nothing may be decided on the rest. */
    private val knowsRecords: Boolean get() = replica.state == ReplicaState.CURRENT

    /** For how long [mayAct] will hold if nothing more is heard, in milliseconds; 0 where it doesn't. */
    val authorityRemainingMs: Long
        get() {
            if (!mayAct) return 0
            val byLease = maxOf(lease.surelyUntil, leaseEndorsement.endorsedUntil)
            return minOf(byLease, replica.readTime + stalenessLimit).ms - loop.now().ms
        }

    /**
     * Whether tasks may be started. For that, what is known must be newer than for keeping what runs, since no task may
     * start after its user was told that it is cancelled: either the state service has answered a moment ago, or all
     * others state that it answers nobody, and nothing can be confirmed then that they haven't told us before.
     */
    override val mayStart: Boolean
        get() = mayAct && (loop.now() < replica.readTime + startLimit || loop.now() < leaseEndorsement.endorsedUntil)

    /**
     * Whether workers may still be told that somebody lives, though nothing may be commanded any more: the session
     * lease has run out without a word of the state service. A zone that is cut off keeps its tasks so. Takers-over
     * reckon with it ([FormerIncarnations]).
     */
    val mayExtendWorkerLeases: Boolean
        get() = state == MemberState.MEMBER && knowsRecords && loop.now() < minOf(lease.renewedAt, replica.readTime) + stalenessLimit

    /** How long that may go on beyond the session lease. */
    val grace: Duration get() = (stalenessLimit - leaseLength) * (1.0 + 2 * SessionLease.DRIFT) + GRACE_MARGIN

    /** Called whenever a life of this member begins or ends. */
    var onChange: () -> Unit = {}

    fun start() {
        leaseEndorsement.intact = { state == MemberState.MEMBER && (lease.alive || loop.now() < leaseEndorsement.endorsedUntil) }
        join()
        loop.again({ if (lease.alive) leaseLength / EXTENSIONS_PER_LEASE else RETRY }) {
            if (state == MemberState.MEMBER) lease.extend { kept -> if (!kept) lost() }
        }
    }

    private fun moveTo(next: MemberState, why: String) {
        if (state == next) return
        log.info("membership {} -> {}: {}", state, next, why)
        state = next
        onChange()
    }

    private fun join() {
        if (state != MemberState.OUTSIDE) return
        moveTo(MemberState.JOINING, "asking for a hold")
        lease = SessionLease(loop, store, leaseLength)
        lease.open { if (it) register() else retry("no hold") }
    }

    /** Replaces the key of our predecessor, who is dead: a process of this name runs only once. */
    private fun register() {
        val leaseId = lease.leaseId ?: return retry("hold lost")
        if (replica.state != ReplicaState.CURRENT && lease.alive) {
            loop.after(LOOK) { register() }
            return
        }
        replica.catchUp { caughtUp ->
            when (caughtUp) {
                CatchUpOutcome.Unavailable -> return@catchUp retry("state service silent")
                CatchUpOutcome.Current -> {}
            }
            val before = replica.members[self]?.revision ?: Revision.ABSENT
            val record = MemberRecord(Incarnation(leaseId.number))
            val transaction = Transaction(
                listOf(Condition(Keys.member(self), before)),
                listOf(Write.Set(Keys.member(self), RecordCodec.encode(record), leaseId)),
            )
            store.commit(WritePriority.LEASE, transaction) { outcome ->
                if (outcome is TransactionOutcome.Applied) {
                    revision = outcome.revision
                    replica.applyCommitted(transaction, outcome.revision)
                    moveTo(MemberState.MEMBER, "incarnation $leaseId")
                } else {
                    retry("could not register")
                }
            }
        }
    }

    private fun retry(why: String) {
        lease.end()
        moveTo(MemberState.OUTSIDE, why)
        loop.after(RETRY) { join() }
    }

    private fun lost() {
        moveTo(MemberState.OUTSIDE, "the hold ran out")
        join()
    }

    private companion object {
        const val EXTENSIONS_PER_LEASE = 8
        val GRACE_MARGIN = 500.milliseconds
        val RETRY = 300.milliseconds
        val LOOK = 20.milliseconds
        val log = LoggerFactory.getLogger("member")
    }
}
