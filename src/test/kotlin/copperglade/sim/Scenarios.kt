package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Arrays of [tasks] tasks each, one every three seconds. */
fun SimSite.arrays(jobs: Int, tasks: Int = 6, workS: Double = 8.0, first: Int = 1) = repeat(jobs) { number ->
    sim.after(number * 3000.0) { submit(SimSite.job(first + number, tasks = tasks)) { workS } }
}

/** Services from `job-500` on, all at once. */
fun SimSite.services(jobs: Int, tasks: Int = 4) = repeat(jobs) { number ->
    submit(SimSite.job(500 + number, tasks = tasks, service = true, spot = false)) { null }
}

/** Ends all faults of the network, the state service and the controllers' access to it, and lets [forS] seconds pass. */
fun SimSite.recover(forS: Double) {
    heal()
    loseNothing()
    network.delayMs = { 0.0 }
    network.lateWriteOneIn = 0
    state.outage = false
    (0 until nodes).forEach(::serveController)
    faultFreeSinceMs = sim.nowMs
    run(forS)
}

/** All troubles end; by the end of [forS] nothing may be left undone, unanswered, waiting or broken. */
fun SimSite.assertRulesHold(forS: Double = 120.0) {
    recover(forS)
    checkAnswered()
    checkStartDelays()
    checkCancelledDependents()
    assertEquals(emptyList<String>(), breaches)
    assertTrue(starts > 0, "nothing ran")
    val unfinished = users.values.filter { it.work(0) != null && !it.finished }.map { it.spec.id }
    assertEquals(emptyList<JobId>(), unfinished, "jobs that never ended")
}

fun SimSite.assertSees(rule: String) = assertTrue(breaches.any { it.startsWith("$rule ") }, "not seen: $breaches")

/** Lets time pass until [holds], for [timeoutS] at the most. */
fun SimSite.await(timeoutS: Double, holds: () -> Boolean) {
    val end = sim.nowMs + timeoutS * 1000
    while (!holds() && sim.nowMs < end) run(0.2)
    assertTrue(holds(), "did not come about within $timeoutS s")
}
