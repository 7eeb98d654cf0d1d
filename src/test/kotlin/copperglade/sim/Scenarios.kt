package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Submits [jobs] arrays of [tasks] tasks each, one every three seconds. */
fun SimSite.submitArrays(jobs: Int, tasks: Int = 6, workSeconds: Double = 8.0, first: Int = 1) = repeat(jobs) { number ->
    sim.after(number * 3000.0) { submit(SimSite.job(first + number, tasks = tasks)) { workSeconds } }
}

/** Submits [jobs] services from `job-500` on, all at once. */
fun SimSite.submitServices(jobs: Int, tasks: Int = 4) = repeat(jobs) { number ->
    submit(SimSite.job(500 + number, tasks = tasks, service = true, spot = false)) { null }
}

/** Ends all faults of the network, the state service and the controllers' access to it, and lets [forSeconds] pass. */
fun SimSite.recover(forSeconds: Double) {
    heal()
    stopLosingMessages()
    network.delayMillis = { 0.0 }
    network.lateWriteOneIn = 0
    state.outage = false
    (0 until nodes).forEach(::serveController)
    faultFreeSinceMillis = sim.nowMillis
    run(forSeconds)
}

/** Ends all faults, lets [forSeconds] pass, and asserts that no rule is broken, all users are answered and all arrays have ended. */
fun SimSite.assertRulesHold(forSeconds: Double = 120.0) {
    recover(forSeconds)
    checkAnswered()
    checkStartDelays()
    checkCancelledDependents()
    assertEquals(emptyList<String>(), breaches)
    assertTrue(starts > 0, "no task was started")
    val unfinished = users.values.filter { it.workSeconds(0) != null && !it.finished }.map { it.spec.id }
    assertEquals(emptyList<JobId>(), unfinished, "jobs that never ended")
}

/** As [assertRulesHold], for scenarios whose only remaining faults are cuts, and without the check of start delays. */
fun SimSite.assertRulesHoldOnceHealed() {
    heal()
    run(120.0)
    checkAnswered()
    assertEquals(emptyList<String>(), breaches)
    val unfinished = users.values.filter { it.workSeconds(0) != null && !it.finished }.map { it.spec.id }
    assertEquals(emptyList<JobId>(), unfinished, "jobs that never ended")
}

/** Asserts that the referee has recorded a breach of [rule]. */
fun SimSite.assertBreachRecorded(rule: String) = assertTrue(breaches.any { it.startsWith("$rule ") }, "no such breach in $breaches")

/** Lets time pass until [holds] returns true, and fails after [timeoutSeconds]. */
fun SimSite.await(timeoutSeconds: Double, holds: () -> Boolean) {
    val end = sim.nowMillis + timeoutSeconds * 1000
    while (!holds() && sim.nowMillis < end) run(0.2)
    assertTrue(holds(), "the condition did not hold within $timeoutSeconds s")
}
