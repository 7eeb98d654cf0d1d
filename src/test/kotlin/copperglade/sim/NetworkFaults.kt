package copperglade.sim

import copperglade.transport.Request

/** One message on the network: a request to a host, or the answer of the host. */
class Transmission(val from: String, val to: String, val path: String, val isAnswer: Boolean)

/**
 * Faults of a simulated network: cut links that hold messages back and deliver them late, lost and delayed messages, duplicates, late
 * writes, and a state service that refuses single callers. Counters show a test that a fault has taken effect.
 */
open class NetworkFaults(private val sim: Simulation) {
    private class HeldMessage(val from: String, val to: String, val deliver: () -> Unit)

    private class WithheldAnswer(val caller: String, val send: () -> Unit)

    /** The cut links, as pairs of sender and receiver. */
    private val cuts = HashSet<Pair<String, String>>()
    private val heldMessages = ArrayList<HeldMessage>()

    /** Cuts the link between two hosts in both directions. */
    fun cut(one: String, other: String) {
        cutOneWay(one, other)
        cutOneWay(other, one)
    }

    /** Holds back the messages from [from] to [to], but not those from [to] to [from]. */
    fun cutOneWay(from: String, to: String) {
        cuts += from to to
    }

    /** Ends all cuts, and transmits the messages that were held back, however old they are. */
    fun heal() {
        cuts.clear()
        val messages = heldMessages.toList()
        heldMessages.clear()
        messages.forEach { transmit(it.from, it.to, 0.0, it.deliver) }
    }

    /** Whether a request is lost as soon as it is sent. */
    var dropsRequest: (Request) -> Boolean = { false }

    /** Whether a message is lost in transit. */
    var losesMessage: (Transmission) -> Boolean = { false }
    var lostMessages = 0
        private set

    /** The additional latency of a message, in milliseconds. */
    var delayMillis: (Transmission) -> Double = { 0.0 }
    var delayedMessages = 0
        private set

    /** Transmits a message that its sender sends in [sentAfterMillis], when the decision in progress has come that far. */
    protected fun transmit(transmission: Transmission, sentAfterMillis: Double, deliver: () -> Unit) {
        if (losesMessage(transmission)) {
            lostMessages++
            return
        }
        val delayMillis = delayMillis(transmission)
        if (delayMillis > 0.0) delayedMessages++
        transmit(transmission.from, transmission.to, sentAfterMillis + delayMillis, deliver)
    }

    private fun transmit(from: String, to: String, additionalMillis: Double, deliver: () -> Unit) {
        sim.after(1.0 + sim.random.nextDouble() * 4.0 + additionalMillis) {
            if (from to to in cuts) heldMessages += HeldMessage(from, to, deliver) else deliver()
        }
    }

    /** Callers that the state service refuses while it serves the others. Answers to their open watches are withheld meanwhile. */
    private val refusedCallers = HashSet<String>()
    private val withheldAnswers = ArrayList<WithheldAnswer>()
    var refusals = 0
        protected set

    /** Makes the state service refuse the caller [name] until [serveCaller]. */
    fun refuseCaller(name: String) {
        refusedCallers += name
    }

    /** Ends the refusal of the caller [name], and sends the answers that were withheld from it. */
    fun serveCaller(name: String) {
        refusedCallers -= name
        val (released, remaining) = withheldAnswers.partition { it.caller == name }
        withheldAnswers.clear()
        withheldAnswers += remaining
        released.forEach { it.send() }
    }

    protected fun isRefused(name: String) = name in refusedCallers

    protected fun withholdAnswer(caller: String, send: () -> Unit) {
        withheldAnswers += WithheldAnswer(caller, send)
    }

    /** One in this many heartbeats arrives a second time, 0.5 s to 0.5 s + [maxDuplicateDelayMillis] later; 0: none. */
    var duplicateOneIn = 0
    var maxDuplicateDelayMillis = 60_000
    var duplicatesDelivered = 0
        protected set

    /** One in this many direct commands that were executed and answered is executed again, after [repeatDelayMillis]; 0: none. */
    var repeatCommandOneIn = 0
    var repeatDelayMillis: () -> Double = { MIN_REPEAT_DELAY_MILLIS + sim.random.nextInt(REPEAT_DELAY_RANGE_MILLIS) }
    var repeatedCommands = 0
        protected set

    /** Changes the body of a duplicate heartbeat. Only tests of the referee set a function other than the identity. */
    var tamperDuplicate: (ByteArray) -> ByteArray = { it }

    /** One in this many transactions is not answered, and is applied 2 to 12 s later, after newer transactions; 0: none. */
    var lateWriteOneIn = 0
    var lateWrites = 0
        protected set
    var lateWritesApplied = 0
        protected set

    private companion object {
        const val MIN_REPEAT_DELAY_MILLIS = 1_000.0

        /** Up to three times the lease of [SimSite.LEASE_SECONDS]. */
        const val REPEAT_DELAY_RANGE_MILLIS = 30_000
    }
}
