package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Polls of accepted jobs are answered within seconds of a restart of all controllers, and without long gaps at any other time. */
class AvailabilityTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 3, 5])
    fun `every job is answered soon after the restart of all controllers, with 1, 3 or 5 of them`(nodes: Int) {
        val site = SimSite(Simulation(31), nodes = nodes, scale = SiteScale(machinesPerZone = 2))
        repeat(600) { number -> site.sim.after(number * 40.0) { site.submit(SimSite.job(number + 1, tasks = 1)) { 2000.0 } } }
        site.run(60.0)
        assertEquals(600, site.users.values.count { it.accepted })
        (0 until nodes).forEach { site.crash(it, 3000.0) }
        site.run(3.0)
        val restartedAtMillis = site.sim.nowMillis
        site.run(15.0)
        assertEquals(
            emptyList<JobId>(),
            site.users.values
                .filter { it.lastAnswerAtMillis < restartedAtMillis }
                .map { it.spec.id },
        )
        assertEquals(emptyList<String>(), site.breaches)
    }

    @Test
    fun `thousands of finished jobs are answered individually after a restart of all controllers`() {
        val site = SimSite(Simulation(33), nodes = 5, endedBefore = 3000)
        site.run(5.0)
        (0 until site.nodes).forEach { site.crash(it, 200.0) }
        val answered = HashMap<Int, Boolean>()

        fun poll(number: Int) {
            site.request(Request(Method.GET, "/submissions/job-${SimSite.FIRST_ENDED_JOB + number}")) { reply ->
                if (reply?.status == 200) answered[number] = true else site.sim.after(5000.0) { poll(number) }
            }
        }
        repeat(3000) { site.sim.after(1000.0 + it) { poll(it) } }
        site.run(30.0)
        assertEquals(3000, answered.size)
        assertEquals(emptyList<String>(), site.breaches)
    }

    @Test
    fun `the referee detects a single unanswered job among many answered ones`() {
        val site = SimSite(Simulation(32))
        site.submitArrays(8)
        site.run(40.0)
        site.network.dropsRequest = { it.path == "/submissions/job-3" }
        site.run(90.0)
        site.checkAnswered()
        assertEquals(listOf("job-3 gets no answer"), site.breaches.map { it.substringAfter(": ") })
    }
}
