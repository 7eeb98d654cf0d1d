package copperglade.sim

import copperglade.protocol.Endpoint
import copperglade.protocol.MonotonicTime
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulated time: events in order, nothing in between, the same for the same seed. */
class Simulation(seed: Long) {
    private class Event(val at: Double, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.at }, { it.order }))
    private var order = 0L
    val random = Random(seed)
    var nowMs = 1_000_000.0
        private set

    fun after(ms: Double, action: () -> Unit) {
        queue += Event(nowMs + ms.coerceAtLeast(0.0), order++, action)
    }

    fun run(forMs: Double, each: () -> Unit = {}) {
        val end = nowMs + forMs
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.remove()
            nowMs = event.at
            event.action()
            each()
        }
        nowMs = end
    }
}

/** A process's clock, a little fast, and its timers, which die with it. */
class SimLoop(private val sim: Simulation, drift: Double = 0.0) : EventLoop {
    var alive = true
    private var rate = 1.0 + drift
    private var baseMs = 0.0
    private var clockAtBase = 0.0

    /** From now on the clock goes [factor] times as fast as it should. */
    fun slowDown(factor: Double) {
        clockAtBase = clockMs()
        baseMs = sim.nowMs
        rate = factor
    }

    private fun clockMs() = clockAtBase + (sim.nowMs - baseMs) * rate

    /** So many readings of its clocks from now on, one ends as where memory has run out; negative: none does. */
    var faultIn = -1

    private fun mayFail() {
        if (faultIn >= 0 && faultIn-- == 0) throw OutOfMemoryError("injected")
    }

    override fun now(): MonotonicTime {
        mayFail()
        return MonotonicTime(clockMs().toLong())
    }

    /** How the process takes a fault in one of its decisions. By default it comes out, and the test fails. */
    var guard: (action: () -> Unit) -> Unit = { it() }

    /** The next reading of the time of day ends in such a fault. */
    var faultAtWallClock = false

    override fun wallMillis(): Long {
        mayFail()
        if (faultAtWallClock) {
            faultAtWallClock = false
            throw OutOfMemoryError("injected")
        }
        return sim.nowMs.toLong()
    }

    private var frozenUntilMs = 0.0

    /** The process stands still for so long while its clock runs on. What comes meanwhile waits for it. */
    fun freeze(ms: Double) {
        frozenUntilMs = sim.nowMs + ms
    }

    fun whenAwake(action: () -> Unit) {
        if (sim.nowMs >= frozenUntilMs) action() else sim.after(frozenUntilMs - sim.nowMs) { whenAwake(action) }
    }

    override fun after(delay: Duration, action: () -> Unit) =
        sim.after(delay.inWholeMicroseconds / 1000.0 / rate) { whenAwake { if (alive) guard(action) } }
}

/** One way of a message: a request to a host, or the answer that comes back from it. */
class Passage(val from: String, val to: String, val path: String, val answer: Boolean)

/**
 * Hosts and the ways between them, with cuts that hold messages back and deliver them late, messages that are lost, late or
 * come twice, and services that refuse a single caller. What happened is counted, so that a test can tell that it did.
 */
class SimNetwork(private val sim: Simulation, private val observer: WireObserver = WireObserver {}) {
    private class Host(val name: String, val loop: SimLoop, val handler: RequestHandler)

    private val hosts = HashMap<Endpoint, Host>()
    private val cuts = HashSet<Pair<String, String>>()
    private val held = ArrayList<Triple<String, String, () -> Unit>>()

    fun listen(at: Endpoint, name: String, loop: SimLoop, handler: RequestHandler) {
        hosts[at] = Host(name, loop, handler)
    }

    fun cut(one: String, other: String) {
        cutOneWay(one, other)
        cutOneWay(other, one)
    }

    /** Nothing of [from] reaches [to] any more, though everything of [to] reaches [from]. */
    fun cutOneWay(from: String, to: String) {
        cuts += from to to
    }

    // ---- copies ----

    /** One in so many of the workers' reports arrives once more, up to [maxDuplicateDelayMs] later; 0: none. */
    var duplicateOneIn = 0
    var maxDuplicateDelayMs = 60_000
    var duplicatesDelivered = 0
        private set

    /** What becomes of a report before it arrives once more; other than itself only to see the referee at work. */
    var forge: (ByteArray) -> ByteArray = { it }

    private fun deliverDuplicate(from: String, to: Endpoint, request: Request) {
        sim.after(500.0 + sim.random.nextInt(maxDuplicateDelayMs)) {
            val present = hosts[to]
            if (present != null && present.loop.alive) {
                duplicatesDelivered++
                val deliverDuplicate = Request(request.method, request.path, forge(request.body))
                observe(WireStep.COPY_DELIVERED, from, present.name, deliverDuplicate)
                present.handler.handle(deliverDuplicate) { observe(WireStep.ANSWER_DISCARDED, present.name, from, deliverDuplicate, it) }
            }
        }
    }

    // ---- losses, lateness, refusals ----

    /** Requests that were sent. */
    var calls = 0
        private set

    /** Requests that never arrive anywhere. */
    var drops: (Request) -> Boolean = { false }

    /** Messages that are lost on the way. */
    var loses: (Passage) -> Boolean = { false }
    var lost = 0
        private set

    /** By how many milliseconds a message is later than usual. */
    var delayMs: (Passage) -> Double = { 0.0 }
    var delayed = 0
        private set

    /** One in so many transactions gets no answer and is carried out 2 to 12 s later, after newer ones; 0: none. */
    var lateWriteOneIn = 0
    var lateWrites = 0
        private set
    var lateWritesApplied = 0
        private set

    /** Callers that the state service refuses while it serves the others; their open watches wait meanwhile. */
    private val refused = HashSet<String>()
    private val withheld = ArrayList<Pair<String, () -> Unit>>()
    var refusals = 0
        private set

    fun refuse(name: String) {
        refused += name
    }

    fun serveAgain(name: String) {
        refused -= name
        val (now, later) = withheld.partition { it.first == name }
        withheld.clear()
        withheld += later
        now.forEach { it.second() }
    }

    /** What becomes of requests and answers; other than themselves only to see the referee at work. */
    var tamperRequest: (String, Request) -> Request = { _, request -> request }
    var tamperAnswer: (Passage, Request, Reply) -> Reply = { _, _, reply -> reply }

    /** Told of every command that sets out, by whom and with what body. */
    var commandsSent: (ByteArray) -> Unit = {}

    /** Ends all cuts; what was held back is delivered now, however late. */
    fun heal() {
        cuts.clear()
        val late = held.toList()
        held.clear()
        late.forEach { (from, to, deliver) -> travel(from, to, 0.0, deliver) }
    }

    private fun travel(from: String, to: String, extraMs: Double, deliver: () -> Unit) {
        if (extraMs > 0.0) delayed++
        sim.after(1.0 + sim.random.nextDouble() * 4.0 + extraMs) {
            if (from to to in cuts) held += Triple(from, to, deliver) else deliver()
        }
    }

    private fun travel(passage: Passage, deliver: () -> Unit) {
        if (loses(passage)) {
            lost++
        } else {
            travel(passage.from, passage.to, delayMs(passage), deliver)
        }
    }

    fun callerOf(name: String, loop: SimLoop) = HttpClient { to, original, timeout, done ->
        var over = false

        fun finish(reply: Reply?) {
            if (over || !loop.alive) return
            over = true
            observe(if (reply == null) WireStep.UNANSWERED else WireStep.ANSWER_DELIVERED, hostName(to), name, original, reply)
            loop.guard { done(reply) }
        }
        calls++
        loop.after(timeout) { finish(null) }
        val request = tamperRequest(name, original)
        observe(WireStep.REQUEST_SENT, name, hostName(to), request)
        if (duplicateOneIn > 0 && request.path == "/checkin" && sim.random.nextInt(duplicateOneIn) == 0) deliverDuplicate(name, to, request)
        if (request.path == "/do") commandsSent(request.body)
        val host = hosts[to]
        if (drops(request)) return@HttpClient
        if (host == null || !host.loop.alive) {
            loop.after(2.milliseconds) { finish(null) }
            return@HttpClient
        }
        val path = request.path.substringBefore('?')
        val back = Passage(host.name, name, path, answer = true)

        fun answer(reply: Reply) {
            val honest = tamperAnswer(back, request, reply)
            observe(WireStep.ANSWER_SENT, host.name, name, request, honest)
            if (path == "/checkin" && honest.status == OK) commandsSent(honest.body)
            travel(back) { loop.whenAwake { finish(honest) } }
        }
        travel(Passage(name, host.name, path, answer = false)) {
            if (host.name == STATE && name in refused) {
                refusals++
                return@travel answer(Reply(UNAVAILABLE))
            }
            val late = path == "/multi" && lateWriteOneIn > 0 && sim.random.nextInt(lateWriteOneIn) == 0
            if (late) return@travel applyLate(name, to, request)
            hosts[to]?.let { present ->
                present.loop.whenAwake {
                    if (present.loop.alive) {
                        observe(WireStep.REQUEST_DELIVERED, name, present.name, request)
                        present.loop.guard {
                            present.handler.handle(Request(request.method, request.path, request.body)) { reply ->
                                if (host.name == STATE && name in refused) withheld += name to { answer(reply) } else answer(reply)
                            }
                        }
                    }
                }
            }
        }
    }

    private fun applyLate(from: String, to: Endpoint, request: Request) = sim.after(2_000.0 + sim.random.nextInt(10_000)) {
        lateWrites++
        observe(WireStep.LATE_WRITE, from, hostName(to), request)
        hosts[to]?.handler?.handle(request) { reply ->
            observe(WireStep.ANSWER_DISCARDED, hostName(to), from, request, reply)
            if (reply.status == OK) lateWritesApplied++
        }
    }

    // ---- observation ----

    private fun hostName(at: Endpoint) = hosts[at]?.name ?: "$at"

    private fun observe(step: WireStep, from: String, to: String, request: Request, reply: Reply? = null) =
        observer.observe(WireEvent(step, sim.nowMs, from, to, request, reply))

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val STATE = "state"
    }
}
