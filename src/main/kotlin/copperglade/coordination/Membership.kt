package copperglade.coordination

import copperglade.protocol.Incarnation
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Permit
import copperglade.protocol.Stamp
import copperglade.storage.Condition
import copperglade.storage.HoldOutcome
import copperglade.storage.Keys
import copperglade.storage.MemberRecord
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.Write
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A hold, and our own reckoning of how long it surely lives: from when the last successful request was sent, less
 * the drift of the clocks and a margin. Whoever acts on the hold asks [alive] at the moment of acting.
 */
class Hold(private val loop: EventLoop, private val store: StateClient, private val length: Duration) {
    var permit: Permit? = null
        private set
    private var surelyUntil = Moment.NEVER

    /** When the last successful request for it was sent. */
    var renewedAt = Moment.NEVER
        private set

    val alive: Boolean get() = permit != null && loop.now() < surelyUntil

    fun open(done: (Boolean) -> Unit) {
        val sent = loop.now()
        store.openHold(length) { outcome ->
            if (outcome is HoldOutcome.Granted) {
                permit = outcome.permit
                renewed(sent)
            }
            done(outcome is HoldOutcome.Granted)
        }
    }

    /** [done] gets false once the service no longer knows the hold. */
    fun extend(done: (Boolean) -> Unit) {
        val extended = permit ?: return
        val sent = loop.now()
        store.extendHold(extended) { outcome ->
            if (permit != extended) return@extendHold
            if (outcome == HoldOutcome.Extended) renewed(sent)
            if (outcome == HoldOutcome.Gone) {
                permit = null
                done(false)
            } else {
                done(true)
            }
        }
    }

    fun end() {
        permit?.let { store.endHold(it) }
        permit = null
    }

    private fun renewed(sent: Moment) {
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

enum class MemberState { OUTSIDE, JOINING, MEMBER }

/** This process's place among the controllers: a hold, and `member/<id>` attached to it. */
class Membership(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val vouching: Vouching,
    val self: MemberId,
    private val holdLength: Duration,
    private val stalenessLimit: Duration,
    private val startLimit: Duration,
) {
    private var hold = Hold(loop, store, holdLength)

    var state = MemberState.OUTSIDE
        private set
    var stamp = Stamp.ABSENT
        private set

    /** The hold's number stands for this life of the process: the state service gives none twice. */
    val incarnation: Incarnation? get() = hold.permit
        ?.takeIf {
            state == MemberState.MEMBER
        }?.let { Incarnation(it.number) }

    /**
     * Whether this process may act at this very moment: on its hold, or on what its peers promised in an outage. In
     * either case its knowledge must be recent enough for a cancellation it has not heard of to be met in time.
     */
    val mayAct: Boolean
        get() = state == MemberState.MEMBER && (hold.alive || loop.now() < vouching.vouchedUntil) &&
            loop.now() < replica.asOf + stalenessLimit

    /**
     * Whether tasks may be started. For that, what is known must be newer than for keeping what runs, since no task may start
     * after its user was told that it is cancelled: either the state service has answered a moment ago, or all others
     * promise that it answers nobody, and nothing can be confirmed then that they haven't told us before.
     */
    val mayStart: Boolean
        get() = mayAct && (loop.now() < replica.asOf + startLimit || loop.now() < vouching.vouchedUntil)

    /**
     * Whether workers may still be told that somebody lives, though nothing may be commanded any more: the hold has run
     * out without a word of the state service. A zone that is cut off keeps its tasks so. Takers-over reckon with it
     * ([AbsentOwners]).
     */
    val mayKeep: Boolean
        get() = state == MemberState.MEMBER && loop.now() < minOf(hold.renewedAt, replica.asOf) + stalenessLimit

    /** How long that may go on beyond the hold. */
    val grace: Duration get() = (stalenessLimit - holdLength) * (1.0 + 2 * Hold.DRIFT) + GRACE_MARGIN

    /** Called whenever a life of this member begins or ends. */
    var onChange: () -> Unit = {}

    fun start() {
        vouching.intact = { state == MemberState.MEMBER && (hold.alive || loop.now() < vouching.vouchedUntil) }
        join()
        loop.again({ if (hold.alive) holdLength / EXTENDS_PER_HOLD else RETRY }) {
            if (state == MemberState.MEMBER) hold.extend { kept -> if (!kept) lost() }
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
        hold = Hold(loop, store, holdLength)
        hold.open { if (it) register() else retry("no hold") }
    }

    /** Replaces the key of our predecessor, who is dead: a process of this name runs only once. */
    private fun register() {
        val permit = hold.permit ?: return retry("hold lost")
        if (replica.state != ReplicaState.CURRENT && hold.alive) {
            loop.after(LOOK) { register() }
            return
        }
        replica.fresh { known ->
            if (!known) return@fresh retry("state service silent")
            val before = replica.members[self]?.stamp ?: Stamp.ABSENT
            val record = MemberRecord(Incarnation(permit.number))
            val transaction = Transaction(
                listOf(Condition(Keys.member(self), before)),
                listOf(Write.Set(Keys.member(self), RecordCodec.encode(record), permit)),
            )
            store.commit(Urgency.HOLD, transaction) { outcome ->
                if (outcome is TransactionOutcome.Applied) {
                    stamp = outcome.stamp
                    replica.applied(transaction, outcome.stamp)
                    moveTo(MemberState.MEMBER, "incarnation $permit")
                } else {
                    retry("could not register")
                }
            }
        }
    }

    private fun retry(why: String) {
        hold.end()
        moveTo(MemberState.OUTSIDE, why)
        loop.after(RETRY) { join() }
    }

    private fun lost() {
        moveTo(MemberState.OUTSIDE, "the hold ran out")
        join()
    }

    private companion object {
        const val EXTENDS_PER_HOLD = 8
        val GRACE_MARGIN = 500.milliseconds
        val RETRY = 300.milliseconds
        val LOOK = 20.milliseconds
        val log = LoggerFactory.getLogger("member")
    }
}
