package copperglade.sim

import copperglade.transport.Request

/** One way of a message: a request to a host, or the answer that comes back from it. */
class Transmission(val from: String, val to: String, val path: String, val isAnswer: Boolean)

/**
 * What is wrong with the links of a simulated network: cuts that hold messages back and deliver them late, messages that are lost or late,
 * and a state service that refuses single callers. What happened is counted, so that a test can tell that it did.
 */
open class NetworkFaults(private val sim: Simulation) {
    private class HeldMessage(val from: String, val to: String, val deliver: () -> Unit)

    private class WithheldAnswer(val caller: String, val send: () -> Unit)

    // ---- cuts ----

    private val cuts = HashSet<Pair<String, String>>()
    private val heldMessages = ArrayList<HeldMessage>()

    fun cut(one: String, other: String) {
        cutOneWay(one, other)
        cutOneWay(other, one)
    }

    /** Holds back what [from] sends to [to], while everything that [to] sends reaches [from]. */
    fun cutOneWay(from: String, to: String) {
        cuts += from to to
    }

    /** Ends all cuts; what was held back is delivered now, however late. */
    fun heal() {
        cuts.clear()
        val late = heldMessages.toList()
        heldMessages.clear()
        late.forEach { transmit(it.from, it.to, 0.0, it.deliver) }
    }

    // ---- lost and delayed messages ----

    /** Requests that vanish as soon as they are sent. */
    var dropsRequest: (Request) -> Boolean = { false }

    /** Messages that are lost on the way. */
    var losesMessage: (Transmission) -> Boolean = { false }
    var lostMessages = 0
        private set

    /** The additional latency of a message, in milliseconds. */
    var delayMillis: (Transmission) -> Double = { 0.0 }
    var delayedMessages = 0
        private set

    protected fun transmit(transmission: Transmission, deliver: () -> Unit) {
        if (losesMessage(transmission)) {
            lostMessages++
        } else {
            transmit(transmission.from, transmission.to, delayMillis(transmission), deliver)
        }
    }

    private fun transmit(from: String, to: String, additionalMillis: Double, deliver: () -> Unit) {
        if (additionalMillis > 0.0) delayedMessages++
        sim.after(1.0 + sim.random.nextDouble() * 4.0 + additionalMillis) {
            if (from to to in cuts) heldMessages += HeldMessage(from, to, deliver) else deliver()
        }
    }

    // ---- refused callers of the state service ----

    /** Callers that the state service refuses while it serves the others; their open watches wait meanwhile. */
    private val refusedCallers = HashSet<String>()
    private val withheldAnswers = ArrayList<WithheldAnswer>()
    var refusals = 0
        protected set

    fun refuseCaller(name: String) {
        refusedCallers += name
    }

    fun serveCaller(name: String) {
        refusedCallers -= name
        val (now, later) = withheldAnswers.partition { it.caller == name }
        withheldAnswers.clear()
        withheldAnswers += later
        now.forEach { it.send() }
    }

    protected fun isRefused(name: String) = name in refusedCallers

    protected fun withholdAnswer(caller: String, send: () -> Unit) {
        withheldAnswers += WithheldAnswer(caller, send)
    }

    // ---- duplicates and late writes ----

    /** One in this many heartbeats arrives a second time, up to [maxDuplicateDelayMillis] later; 0: none. */
    var duplicateOneIn = 0
    var maxDuplicateDelayMillis = 60_000
    var duplicatesDelivered = 0
        protected set

    /** What becomes of a heartbeat before its duplicate arrives; other than itself only to see the referee at work. */
    var tamperDuplicate: (ByteArray) -> ByteArray = { it }

    /** One in this many transactions gets no answer and is applied 2 to 12 s later, after newer ones; 0: none. */
    var lateWriteOneIn = 0
    var lateWrites = 0
        protected set
    var lateWritesApplied = 0
        protected set
}
