package copperglade.sim

import copperglade.protocol.MonotonicTime
import copperglade.transport.EventLoop
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration

/** Simulated time: a queue of events whose order depends on the seed alone. */
class Simulation(seed: Long) {
    private class Event(val atMillis: Double, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0L
    val random = Random(seed)
    var nowMillis = 1_000_000.0
        private set

    fun after(delayMillis: Double, action: () -> Unit) {
        queue += Event(nowMillis + delayMillis.coerceAtLeast(0.0), order++, action)
    }

    fun run(forMillis: Double, afterEachEvent: () -> Unit = {}) {
        val endMillis = nowMillis + forMillis
        while (queue.isNotEmpty() && queue.peek().atMillis <= endMillis) {
            val event = queue.remove()
            nowMillis = event.atMillis
            event.action()
            afterEachEvent()
        }
        nowMillis = endMillis
    }
}

/** The event loop of a simulated process: its clock, which may run a little fast, and its timers, which end with it. */
class SimLoop(private val sim: Simulation, drift: Double = 0.0) : EventLoop {
    var alive = true
    private var rate = 1.0 + drift
    private var baseMillis = 0.0
    private var clockAtBaseMillis = 0.0

    /** From now on the clock goes [factor] times as fast as it should. */
    fun setClockRate(factor: Double) {
        clockAtBaseMillis = clockMillis()
        baseMillis = sim.nowMillis
        rate = factor
    }

    private fun clockMillis() = clockAtBaseMillis + (sim.nowMillis - baseMillis) * rate

    /** The number of clock readings before one throws an out-of-memory error; negative: none does. */
    var readingsUntilFault = -1

    private fun failIfDue() {
        if (readingsUntilFault >= 0 && readingsUntilFault-- == 0) throw OutOfMemoryError("injected")
    }

    override fun now(): MonotonicTime {
        failIfDue()
        return MonotonicTime(clockMillis().toLong())
    }

    /** Runs each decision of the process; by default a fault propagates and the test fails. */
    var guard: (action: () -> Unit) -> Unit = { it() }

    /** Whether the next reading of the time of day throws such an error. */
    var faultAtWallClockReading = false

    override fun wallMillis(): Long {
        failIfDue()
        if (faultAtWallClockReading) {
            faultAtWallClockReading = false
            throw OutOfMemoryError("injected")
        }
        return sim.nowMillis.toLong()
    }

    private var frozenUntilMillis = 0.0

    /** Pauses the process for [durationMillis] while its clock runs on. Events that come meanwhile wait for it. */
    fun freeze(durationMillis: Double) {
        frozenUntilMillis = sim.nowMillis + durationMillis
    }

    fun whenNotFrozen(action: () -> Unit) {
        if (sim.nowMillis >= frozenUntilMillis) action() else sim.after(frozenUntilMillis - sim.nowMillis) { whenNotFrozen(action) }
    }

    override fun after(delay: Duration, action: () -> Unit) =
        sim.after(delay.inWholeMicroseconds / 1000.0 / rate) { whenNotFrozen { if (alive) guard(action) } }
}
