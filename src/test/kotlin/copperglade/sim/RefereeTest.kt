package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Test

/**
 * The referee detects controllers that break a rule: their settings are wrong, or their messages are changed in transit, so that they
 * behave like faulty ones. Rules that are not here are broken on purpose next to the tests of the code that upholds them.
 */
class RefereeTest {
    private fun SimSite.tamperAnswersTo(path: String, change: (String, Reply) -> Reply) {
        network.tamperAnswer =
            { passage, request, reply -> if (passage.to == "users" && request.path == path) change(request.path, reply) else reply }
    }

    @Test
    fun `the referee detects a task in a zone that its job does not allow`() {
        val site = SimSite(Simulation(401))
        // Controllers receive heartbeats of workers in the north zone as if they were from the south zone.
        site.network.tamperRequest = { _, request ->
            if (request.path != "/checkin") {
                request
            } else {
                Request(
                    request.method,
                    request.path,
                    request.body
                        .decodeToString()
                        .replace("\"north\"", "\"south\"")
                        .encodeToByteArray(),
                )
            }
        }
        repeat(4) { site.submit(SimSite.job(1 + it, tasks = 8, cpus = 8.0, zone = "south", estimatedSeconds = 30.0)) { 30.0 } }
        site.run(60.0)
        site.assertBreachRecorded("wrong_place")
    }

    @Test
    fun `the referee detects a job that was never submitted`() {
        val site = SimSite(Simulation(402))
        site.network.tamperAnswer = { passage, request, reply ->
            if (passage.to == "users" && request.method == Method.GET &&
                reply.status == 404
            ) {
                Reply(200, "{\"status\":\"done\"}".encodeToByteArray())
            } else {
                reply
            }
        }
        repeat(20) { site.sim.after(10_000.0 + it * 100.0) { site.sendOddRequest() } }
        site.run(20.0)
        site.assertBreachRecorded("invented")
    }

    @Test
    fun `the referee detects a job that is reported done and then running`() {
        val site = SimSite(Simulation(403))
        site.submit(SimSite.job(1, tasks = 1)) { 2.0 }
        site.run(40.0)
        site.tamperAnswersTo("/submissions/job-1") { _, reply ->
            Reply(
                reply.status,
                reply.body
                    .decodeToString()
                    .replace("done\",", "running\",")
                    .encodeToByteArray(),
            )
        }
        site.run(40.0)
        site.assertBreachRecorded("went_back")
    }

    @Test
    fun `the referee detects an accepted job that is refused when it is submitted once more`() {
        val site = SimSite(Simulation(404))
        site.submit(SimSite.job(1, tasks = 1)) { 200.0 }
        site.run(20.0)
        site.tamperAnswersTo("/submissions") { _, _ -> Reply(422) }
        site.repeatSubmission(site.users.getValue(JobId("job-1")))
        site.run(5.0)
        site.assertBreachRecorded("forgotten")
    }

    @Test
    fun `the referee detects a start after the cancellation was confirmed`() {
        val site = SimSite(Simulation(405))
        site.submit(SimSite.job(1, tasks = 40)) { 6.0 }
        site.run(15.0)
        // The user's cancellation counts as confirmed, although it was not written.
        site.network.dropsRequest = { it.path.endsWith("/cancel") }
        site.users.getValue(JobId("job-1")).cancelledAtMillis = site.sim.nowMillis
        site.run(20.0)
        site.assertBreachRecorded("started_cancelled")
    }

    @Test
    fun `the referee detects a job left waiting despite free capacity`() {
        // By the controllers' settings, the team is at its limit.
        val site = SimSite(Simulation(406), configuredMaxCpus = 2.0)
        site.submit(SimSite.job(1, tasks = 1, service = true)) { null }
        site.submit(SimSite.job(2, tasks = 4)) { 5.0 }
        site.faultFreeSinceMillis = site.sim.nowMillis
        site.run(130.0)
        site.assertBreachRecorded("left_waiting")
    }

    @Test
    fun `the referee detects a workload class of which less than half is served`() {
        val site = SimSite(Simulation(407), configuredMaxCpus = 2.0)
        site.submit(SimSite.job(1, tasks = 1, service = true)) { null }
        repeat(4) { number -> site.submit(SimSite.job(2 + number, tasks = 4)) { 5.0 } }
        site.run(100.0)
        site.checkStartDelays()
        site.assertBreachRecorded("unserved")
    }

    @Test
    fun `the referee detects jobs that are accepted although they lack a field or fit no machine`() {
        val site = SimSite(Simulation(408))
        site.network.tamperRequest = { from, request ->
            val text = request.body.decodeToString()
            val lacksImage = from == "users" && request.path == "/submissions" && "\"manifest\"" !in text
            if (lacksImage) {
                Request(
                    request.method,
                    request.path,
                    text.replace("\"pullGb\"", "\"manifest\":\"img-1\",\"pullGb\"").encodeToByteArray(),
                )
            } else {
                request
            }
        }
        repeat(20) { site.sim.after(10_000.0 + it * 100.0) { site.sendOddRequest() } }
        site.run(20.0)
        site.assertBreachRecorded("accepted_bad")
    }
}
