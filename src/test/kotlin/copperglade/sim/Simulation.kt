package copperglade.sim

import copperglade.protocol.MonotonicTime
import copperglade.transport.EventLoop
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration

/** Simulated time: a queue of events whose order depends on the seed alone. */
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

/** The event loop of a simulated process: its clock, which may run a little fast, and its timers, which end with it. */
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

    /** The number of clock readings before one throws an out-of-memory error; negative: none does. */
    var faultIn = -1

    private fun mayFail() {
        if (faultIn >= 0 && faultIn-- == 0) throw OutOfMemoryError("injected")
    }

    override fun now(): MonotonicTime {
        mayFail()
        return MonotonicTime(clockMs().toLong())
    }

    /** Runs each decision of the process; by default a fault propagates and the test fails. */
    var guard: (action: () -> Unit) -> Unit = { it() }

    /** Whether the next reading of the time of day throws such an error. */
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

    /** Pauses the process for [ms] while its clock runs on. Events that come meanwhile wait for it. */
    fun freeze(ms: Double) {
        frozenUntilMs = sim.nowMs + ms
    }

    fun whenAwake(action: () -> Unit) {
        if (sim.nowMs >= frozenUntilMs) action() else sim.after(frozenUntilMs - sim.nowMs) { whenAwake(action) }
    }

    override fun after(delay: Duration, action: () -> Unit) =
        sim.after(delay.inWholeMicroseconds / 1000.0 / rate) { whenAwake { if (alive) guard(action) } }
}
