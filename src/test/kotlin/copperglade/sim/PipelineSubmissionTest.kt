package copperglade.sim

import copperglade.protocol.Json
import copperglade.protocol.stringOrNull
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Which dependencies a submission may name, and how controllers refuse others. */
class PipelineSubmissionTest {
    private fun siteWithRunningJobs(seed: Long): SimSite {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1)) { 150.0 }
        site.submit(SimSite.job(500, tasks = 1, service = true, spot = false)) { null }
        site.await(30.0) { site.isRunning(1) && site.isRunning(500) }
        return site
    }

    /** Sends [request] to [node] and returns the answer, or null if there was none. */
    private fun SimSite.answerAt(node: Int, request: Request): Reply? {
        var reply: Reply? = null
        var finished = false
        requestAt(node, request) {
            reply = it
            finished = true
        }
        await(6.0) { finished }
        return reply
    }

    /** Submits `job-[number]` to [node] with the JSON text [dependencies] as its field `awaits`, and returns the answer. */
    private fun SimSite.submitWithDependencies(number: Int, dependencies: String, node: Int = 0): Reply? {
        val body = submissionBody(SimSite.job(number, tasks = 1), emptyList()).decodeToString().dropLast(1) + ",\"awaits\":$dependencies}"
        return answerAt(node, Request(Method.POST, "/submissions", body.encodeToByteArray()))
    }

    @Test
    fun `malformed dependency lists are refused with 400`() {
        val site = siteWithRunningJobs(611)
        val malformed =
            listOf("\"job-1\"", "{\"job-1\":1}", "[1]", "[null]", "[\"\"]", "[\"job-\"]", "[\"task-1\"]", "[[\"job-1\"]]", "true", "7")
        val answers = malformed.associateWith { site.submitWithDependencies(50, it)?.status }
        assertEquals(malformed.associateWith { 400 }, answers)
        assertEquals(400, site.submitWithDependencies(50, "[\"job-1\",\"job 1\"]")?.status)
        assertEquals(404, site.answerAt(0, Request(Method.GET, "/submissions/job-50"))?.status)
    }

    @Test
    fun `unknown dependencies, the job itself and services are refused with 422 by every controller`() {
        val site = siteWithRunningJobs(612)
        val unacceptable = listOf("[\"job-999\"]", "[\"job-50\"]", "[\"job-500\"]", "[\"job-1\",\"job-999\"]", "[\"job-1\",\"job-500\"]")
        for (node in 0 until site.nodes) {
            val answers = unacceptable.associateWith { site.submitWithDependencies(50, it, node)?.status }
            assertEquals(unacceptable.associateWith { 422 }, answers, "at controller $node")
        }
        assertEquals(404, site.answerAt(1, Request(Method.GET, "/submissions/job-50"))?.status)
    }

    @Test
    fun `null and an empty list name no dependencies`() {
        val site = siteWithRunningJobs(613)
        // The submission is changed in transit, since simulated users never send the field in this form.
        for ((number, dependencies) in listOf(51 to "null", 52 to "[]")) {
            site.network.tamperRequest = { from, request ->
                if (from == "users" && request.method == Method.POST && "\"job-$number\"" in request.body.decodeToString()) {
                    Request(
                        request.method,
                        request.path,
                        (request.body.decodeToString().dropLast(1) + ",\"awaits\":$dependencies}").encodeToByteArray(),
                    )
                } else {
                    request
                }
            }
            site.submit(SimSite.job(number, tasks = 1)) { 4.0 }
            site.await(5.0) { site.user(number).acceptedStatus == 201 }
            site.awaitRunning(number)
        }
        site.assertRulesHold(200.0)
    }

    @Test
    fun `an unknown dependency is no reason for a final refusal while the state service is down`() {
        val site = siteWithRunningJobs(614)
        site.state.outage = true
        site.run(1.0)
        for (node in 0 until site.nodes) {
            assertEquals(503, site.submitWithDependencies(50, "[\"job-999\"]", node)?.status)
            assertEquals(503, site.submitWithDependencies(50, "[\"job-1\"]", node)?.status)
        }
        site.state.outage = false
        site.run(5.0)
        assertEquals(422, site.submitWithDependencies(50, "[\"job-999\"]")?.status)
        val refusedNode = site.leader()!!
        site.refuseController(refusedNode)
        // Another controller may just have accepted the dependency; the refused controller can't read that.
        site.run(1.0)
        val otherNode = (refusedNode + 1) % site.nodes
        assertEquals(422, site.submitWithDependencies(50, "[\"job-999\"]", otherNode)?.status)
        assertTrue(site.submitWithDependencies(50, "[\"job-999\"]", refusedNode)?.status in listOf(null, 503))
        site.assertRulesHold(240.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [616, 617])
    fun `a known job is answered with its status whatever dependencies the repeat names`(seed: Long) {
        val site = siteWithRunningJobs(seed)
        site.submit(SimSite.job(2, tasks = 1), listOf(id(1))) { 4.0 }
        site.submit(SimSite.job(3, tasks = 1)) { 3.0 }
        site.await(30.0) { site.user(2).accepted && site.user(3).status == "done" }
        val otherDependencies =
            listOf("[]", "null", "[\"job-3\"]", "[\"job-999\"]", "[\"job-2\"]", "[\"job-3\",\"job-500\"]", "[5]", "\"job-1\"")
        for (dependencies in otherDependencies) {
            for ((number, status) in listOf(2 to "queued", 3 to "done")) {
                val reply = site.submitWithDependencies(number, dependencies, node = site.sim.random.nextInt(site.nodes))
                assertEquals(200, reply?.status, "job-$number with $dependencies")
                assertEquals(status, Json.read(reply!!.body)!!.stringOrNull("status"), "job-$number with $dependencies")
            }
        }
        // The repeated submissions have changed nothing.
        site.assertNeverStarted(listOf(2))
        site.repeatSubmission(site.user(2))
        site.assertRulesHold(240.0)
        site.assertStatus("done", listOf(2))
    }
}
