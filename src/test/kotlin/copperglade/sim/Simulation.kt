package copperglade.sim

import copperglade.protocol.MonotonicTime
import copperglade.transport.EventLoop
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration

/** A discrete-event simulation: a clock and a queue of events whose order depends on the seed alone. */
class Simulation(seed: Long) {
    private class Event(val atMillis: Double, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0L
    val random = Random(seed)
    var nowMillis = 1_000_000.0
        private set

    /** Schedules [action] after [delayMillis]; a negative delay counts as 0. Events of the same time run in the order of the calls. */
    fun after(delayMillis: Double, action: () -> Unit) {
        queue += Event(nowMillis + delayMillis.coerceAtLeast(0.0), order++, action)
    }

    /** Lets [forMillis] pass, and calls [afterEachEvent] after each event. */
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

/**
 * The event loop of a simulated process. Its clock is fast by the fraction [drift]. No timer fires once the process is not [alive].
 *
 * A decision takes no time unless [millisPerReading] is set: then its clock moves on with each reading, and the process handles nothing
 * else and sends nothing until simulated time has caught up.
 */
class SimLoop(private val sim: Simulation, drift: Double = 0.0) : EventLoop {
    var alive = true
    private var rate = 1.0 + drift
    private var baseMillis = 0.0
    private var clockAtBaseMillis = 0.0

    /** Runs the clock at [factor] times simulated time from now on. */
    fun setClockRate(factor: Double) {
        clockAtBaseMillis = clockMillis()
        baseMillis = sim.nowMillis
        rate = factor
    }

    private fun clockMillis() = clockAtBaseMillis + (processMillis - baseMillis) * rate

    /** By how much the clock moves on at each reading, in milliseconds. */
    var millisPerReading = 0.0
    private var busyUntilMillis = 0.0

    /** The time up to which the process has worked. */
    private val processMillis: Double get() = maxOf(sim.nowMillis, busyUntilMillis)

    /** How long the decision in progress has taken so far, in milliseconds. */
    val millisBusy: Double get() = processMillis - sim.nowMillis

    private fun spendReading() {
        if (millisPerReading > 0.0) busyUntilMillis = processMillis + millisPerReading
    }

    /** The number of clock readings before the one that throws an [OutOfMemoryError]; negative: none throws. */
    var readingsUntilFault = -1

    private fun failIfDue() {
        if (readingsUntilFault >= 0 && readingsUntilFault-- == 0) throw OutOfMemoryError("injected")
    }

    override fun now(): MonotonicTime {
        failIfDue()
        spendReading()
        return MonotonicTime(clockMillis().toLong())
    }

    /** Runs each decision of the process. By default an error propagates and the test fails. */
    var guard: (action: () -> Unit) -> Unit = { it() }

    /** Whether the next reading of the time of day throws an [OutOfMemoryError]. */
    var faultAtWallClockReading = false

    override fun wallMillis(): Long {
        failIfDue()
        spendReading()
        if (faultAtWallClockReading) {
            faultAtWallClockReading = false
            throw OutOfMemoryError("injected")
        }
        return processMillis.toLong()
    }

    private var frozenUntilMillis = 0.0

    /** Pauses the process for [durationMillis] while its clock continues. Events of that time are delayed until the process resumes. */
    fun freeze(durationMillis: Double) {
        frozenUntilMillis = sim.nowMillis + durationMillis
    }

    /** Runs [action] now, or once the process resumes if it is frozen, and has ended the decision in progress. */
    fun whenNotFrozen(action: () -> Unit) {
        val freeAtMillis = maxOf(frozenUntilMillis, busyUntilMillis)
        if (sim.nowMillis >= freeAtMillis) action() else sim.after(freeAtMillis - sim.nowMillis) { whenNotFrozen(action) }
    }

    override fun after(delay: Duration, action: () -> Unit) =
        sim.after(delay.inWholeMicroseconds / 1000.0 / rate + millisBusy) { whenNotFrozen { if (alive) guard(action) } }
}
