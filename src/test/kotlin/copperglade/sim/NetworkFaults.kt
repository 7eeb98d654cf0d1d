package copperglade.sim

import copperglade.transport.Request

/** One way of a message: a request to a host, or the answer that comes back from it. */
class Passage(val from: String, val to: String, val path: String, val answer: Boolean)

/**
 * What is wrong with the links of a simulated network: cuts that hold messages back and deliver them late, messages that are lost or late,
 * and a state service that refuses single callers. What happened is counted, so that a test can tell that it did.
 */
open class NetworkFaults(private val sim: Simulation) {
    private class HeldMessage(val from: String, val to: String, val deliver: () -> Unit)

    private class WithheldAnswer(val caller: String, val send: () -> Unit)

    // ---- cuts ----

    private val cuts = HashSet<Pair<String, String>>()
    private val held = ArrayList<HeldMessage>()

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
        val late = held.toList()
        held.clear()
        late.forEach { travel(it.from, it.to, 0.0, it.deliver) }
    }

    // ---- lost and delayed messages ----

    /** Requests that vanish as soon as they are sent. */
    var drops: (Request) -> Boolean = { false }

    /** Messages that are lost on the way. */
    var loses: (Passage) -> Boolean = { false }
    var lost = 0
        private set

    /** The additional latency of a message, in milliseconds. */
    var delayMs: (Passage) -> Double = { 0.0 }
    var delayed = 0
        private set

    protected fun travel(passage: Passage, deliver: () -> Unit) {
        if (loses(passage)) {
            lost++
        } else {
            travel(passage.from, passage.to, delayMs(passage), deliver)
        }
    }

    private fun travel(from: String, to: String, extraMs: Double, deliver: () -> Unit) {
        if (extraMs > 0.0) delayed++
        sim.after(1.0 + sim.random.nextDouble() * 4.0 + extraMs) {
            if (from to to in cuts) held += HeldMessage(from, to, deliver) else deliver()
        }
    }

    // ---- refused callers of the state service ----

    /** Callers that the state service refuses while it serves the others; their open watches wait meanwhile. */
    private val refused = HashSet<String>()
    private val withheld = ArrayList<WithheldAnswer>()
    var refusals = 0
        protected set

    fun refuse(name: String) {
        refused += name
    }

    fun serveAgain(name: String) {
        refused -= name
        val (now, later) = withheld.partition { it.caller == name }
        withheld.clear()
        withheld += later
        now.forEach { it.send() }
    }

    protected fun isRefused(name: String) = name in refused

    protected fun withhold(caller: String, send: () -> Unit) {
        withheld += WithheldAnswer(caller, send)
    }

    // ---- duplicates and late writes ----

    /** One in this many heartbeats arrives a second time, up to [maxDuplicateDelayMs] later; 0: none. */
    var duplicateOneIn = 0
    var maxDuplicateDelayMs = 60_000
    var duplicatesDelivered = 0
        protected set

    /** What becomes of a heartbeat before its duplicate arrives; other than itself only to see the referee at work. */
    var forge: (ByteArray) -> ByteArray = { it }

    /** One in this many transactions gets no answer and is applied 2 to 12 s later, after newer ones; 0: none. */
    var lateWriteOneIn = 0
    var lateWrites = 0
        protected set
    var lateWritesApplied = 0
        protected set
}
