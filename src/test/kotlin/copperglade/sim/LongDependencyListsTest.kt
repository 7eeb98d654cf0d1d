package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A job's record, which contains its dependencies, has to fit into a value of the state service. */
class LongDependencyListsTest {
    private val site = SimSite(Simulation(2401), scale = SiteScale(valueKb = 0.7), endedBefore = ENDED_JOB_COUNT)

    private fun submitAndAwaitReply(number: Int, dependencies: List<JobId>): Reply {
        var answer: Reply? = null
        site.request(Request(Method.POST, "/submissions", submissionBody(SimSite.job(number, tasks = 1), dependencies))) { answer = it }
        site.await(3.0) { answer != null }
        return answer!!
    }

    @Test
    fun `a dependency list that does not fit is refused with 400 that names the field`() {
        val runningJobs = (1..LIVE_JOB_COUNT).map { JobId("job-$it") }
        runningJobs.forEach { id -> site.submit(SimSite.job(id.text.removePrefix("job-").toInt(), tasks = 1, cpus = 0.1)) { 60.0 } }
        site.await(60.0) { runningJobs.all { site.users.getValue(it).accepted } }
        val rejection = submitAndAwaitReply(900, runningJobs)
        assertEquals(400, rejection.status)
        assertTrue("\"field\":\"awaits\"" in rejection.body.decodeToString(), rejection.body.decodeToString())
        assertEquals(201, submitAndAwaitReply(901, runningJobs.take(ACCEPTED_DEPENDENCY_COUNT)).status)
    }

    @Test
    fun `dependencies that are done take no space in the record`() {
        site.run(10.0)
        val doneJobs = (0 until ENDED_JOB_COUNT).map { JobId("job-${SimSite.FIRST_ENDED_JOB + it}") }
        assertEquals(201, submitAndAwaitReply(902, doneJobs).status)
    }

    private companion object {
        const val LIVE_JOB_COUNT = 70
        const val ENDED_JOB_COUNT = 60
        const val ACCEPTED_DEPENDENCY_COUNT = 10
    }
}
