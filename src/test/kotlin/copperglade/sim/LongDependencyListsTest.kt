package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A job's record with all that it awaits has to fit into a value of the state service. */
class LongDependencyListsTest {
    private val site = SimSite(Simulation(2401), scale = SiteScale(valueKb = 0.7), endedBefore = ENDED)

    private fun answerTo(number: Int, dependencies: List<JobId>): Reply {
        var answer: Reply? = null
        site.request(Request(Method.POST, "/submissions", submissionBody(SimSite.job(number, tasks = 1), dependencies))) { answer = it }
        site.await(3.0) { answer != null }
        return answer!!
    }

    @Test
    fun `a dependency list that does not fit is refused with 400 that names the field`() {
        val running = (1..LIVE).map { JobId("job-$it") }
        running.forEach { id -> site.submit(SimSite.job(id.text.removePrefix("job-").toInt(), tasks = 1, cpus = 0.1)) { 60.0 } }
        site.await(60.0) { running.all { site.users.getValue(it).accepted } }
        val refused = answerTo(900, running)
        assertEquals(400, refused.status)
        assertTrue("\"field\":\"awaits\"" in refused.body.decodeToString(), refused.body.decodeToString())
        assertEquals(201, answerTo(901, running.take(FEW)).status)
    }

    @Test
    fun `jobs that are done take no space in the record`() {
        site.run(10.0)
        val done = (0 until ENDED).map { JobId("job-${SimSite.FIRST_ENDED_JOB + it}") }
        assertEquals(201, answerTo(902, done).status)
    }

    private companion object {
        const val LIVE = 70
        const val ENDED = 60
        const val FEW = 10
    }
}
