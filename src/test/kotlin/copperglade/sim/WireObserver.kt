package copperglade.sim

import copperglade.transport.Reply
import copperglade.transport.Request

/** A step of a request or of its answer on the simulated network. */
enum class WireStep {
    REQUEST_SENT,
    REQUEST_DELIVERED,
    ANSWER_SENT,
    ANSWER_DELIVERED,

    /** The call fails: its timeout expired without an answer, or no process listens at the address. */
    UNANSWERED,

    /** A duplicate of a heartbeat or of a direct command reaches its receiver. */
    COPY_DELIVERED,

    /** The state service applies a transaction long after it was sent. */
    LATE_WRITE,

    /** An answer to a duplicate or to a late transaction is dropped by the network. */
    ANSWER_DISCARDED,
}

/**
 * One step of one message, at simulated time [atMillis]. [from] and [to] are the sender and the receiver of this step's message.
 * [request] is the request to which the message belongs, and [reply] the answer if the step is one of an answer.
 */
class WireEvent(val step: WireStep, val atMillis: Double, val from: String, val to: String, val request: Request, val reply: Reply?)

/** Observes every message of a [SimNetwork] without changing it. */
fun interface WireObserver {
    /** Called in the order in which the steps happen in simulated time. */
    fun observe(event: WireEvent)
}
