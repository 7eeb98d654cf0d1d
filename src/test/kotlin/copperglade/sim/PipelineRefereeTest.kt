package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The rules for jobs with dependencies: each test breaks one by changing messages in transit, and asserts that the referee detects it. */
class PipelineRefereeTest {
    private fun id(number: Int) = JobId("job-$number")

    /** Replaces successful answers to polls of [job] with ones that report [status], no tasks done and none running. */
    private fun SimSite.forgeAnswers(job: JobId, status: String) {
        network.tamperAnswer = { passage, request, reply ->
            val isStatusPoll = passage.to == "users" && request.method == Method.GET && request.path == "/submissions/$job"
            val forgedBody = """{"nameId":"$job","status":"$status","done":0,"running":0}"""
            if (isStatusPoll && reply.status == 200) Reply(200, forgedBody.encodeToByteArray()) else reply
        }
    }

    private fun SimSite.submitDependentPair(workSeconds: Double) {
        submit(SimSite.job(1, tasks = 2, estimatedSeconds = workSeconds)) { workSeconds }
        submit(SimSite.job(2, tasks = 2), listOf(id(1))) { 5.0 }
    }

    @Test
    fun `the referee detects a task that starts before its job's dependency is done`() {
        val site = SimSite(Simulation(421))
        var strippedSubmissions = 0
        // Controllers receive submissions without their dependencies.
        site.network.tamperRequest = { from, request ->
            val text = request.body.decodeToString()
            if (from == "users" && "\"awaits\"" in text) {
                strippedSubmissions++
                Request(request.method, request.path, text.replace(AWAITS_FIELD, "").encodeToByteArray())
            } else {
                request
            }
        }
        site.submitDependentPair(workSeconds = 60.0)
        site.run(40.0)
        assertTrue(strippedSubmissions > 0, "no submission named a dependency")
        site.assertBreachRecorded("too_early")
    }

    @Test
    fun `the referee detects a job that is reported queued long after its dependency was cancelled`() {
        val site = SimSite(Simulation(422))
        site.forgeAnswers(id(2), "queued")
        site.submitDependentPair(workSeconds = 200.0)
        site.run(15.0)
        site.cancel(id(1))
        site.run(5.0)
        assertEquals("aborted", site.users.getValue(id(1)).status)
        assertTrue(site.breaches.none { it.startsWith("orphaned ") }, "detected too soon: ${site.breaches}")
        site.run(SimSite.CANCEL_SECONDS + 1.0)
        site.assertBreachRecorded("orphaned")
    }

    @Test
    fun `the referee detects a job that is reported done although its dependency was cancelled`() {
        val site = SimSite(Simulation(423))
        site.forgeAnswers(id(2), "done")
        site.submitDependentPair(workSeconds = 200.0)
        site.run(15.0)
        site.cancel(id(1))
        site.run(10.0)
        site.assertBreachRecorded("orphaned")
    }

    @Test
    fun `the referee detects a job that is reported cancelled although its dependency was not cancelled`() {
        val site = SimSite(Simulation(424))
        site.forgeAnswers(id(2), "aborted")
        site.submitDependentPair(workSeconds = 200.0)
        // The cancellation of an unrelated job is no reason to cancel job-2.
        site.submit(SimSite.job(3, tasks = 1)) { 200.0 }
        site.sim.after(12_000.0) { site.cancel(id(3)) }
        site.run(30.0)
        assertEquals("aborted", site.users.getValue(id(3)).status)
        site.assertBreachRecorded("went_back")
    }

    @Test
    fun `the referee detects a job that is reported cancelled although its dependency was done when it was cancelled`() {
        val site = SimSite(Simulation(425))
        site.submit(SimSite.job(1, tasks = 1)) { 5.0 }
        site.await(40.0) { site.users.getValue(id(1)).completedAtMillis != null }
        site.run(1.0)
        site.cancel(id(1))
        site.run(10.0)
        assertEquals("done", site.users.getValue(id(1)).status)
        site.forgeAnswers(id(2), "aborted")
        site.submit(SimSite.job(2, tasks = 1), listOf(id(1))) { 50.0 }
        site.run(15.0)
        site.assertBreachRecorded("went_back")
    }

    private companion object {
        val AWAITS_FIELD = Regex(",\"awaits\":\\[[^]]*]")
    }
}
