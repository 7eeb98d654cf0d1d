package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.Json
import copperglade.protocol.TeamName
import copperglade.protocol.stringOrNull
import copperglade.settings.Team
import copperglade.storage.Keys
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

/** Jobs that wait for others, on calm days and amid troubles. Each test first shows that its situation came about. */
class PipelinesTest {
    /** Pipelines by the jobs that each job awaits; jobs of one list are of one level. */
    enum class Shape(val levels: List<List<Int>>, val dependencies: Map<Int, List<Int>>) {
        CHAIN(listOf(listOf(1), listOf(2), listOf(3), listOf(4)), mapOf(2 to listOf(1), 3 to listOf(2), 4 to listOf(3))),
        DIAMOND(listOf(listOf(1), listOf(2, 3), listOf(4)), mapOf(2 to listOf(1), 3 to listOf(1), 4 to listOf(2, 3))),
        FAN(listOf(listOf(1), (2..13).toList(), listOf(14)), (2..13).associateWith { listOf(1) } + (14 to (2..13).toList())),
        ;

        val jobs: List<Int> get() = levels.flatten()

        /** All that need [job], directly or through others. */
        fun after(job: Int): Set<Int> =
            dependencies.filterValues { job in it }.keys.let { direct -> direct + direct.flatMap { after(it) } }
    }

    private fun id(number: Int) = JobId("job-$number")

    private fun SimSite.user(number: Int) = users.getValue(id(number))

    private fun SimSite.submitAll(shape: Shape, workS: Double, tasks: Int = 2) = shape.jobs.forEach { number ->
        submit(SimSite.job(number, tasks = tasks, etaS = workS), shape.dependencies[number].orEmpty().map(::id)) { workS }
    }

    private fun SimSite.isRunning(number: Int) = runningTasks().keys.any { it.job == id(number) }

    private fun SimSite.awaitRunning(number: Int) = await(150.0) { isRunning(number) }

    /** Cancels a job that is not done, and waits until its user is told so. */
    private fun SimSite.cancelAndConfirm(number: Int, timeoutS: Double = 5.0) {
        cancel(id(number))
        await(timeoutS) { user(number).cancelledAtMs != null }
    }

    private fun SimSite.assertStatus(status: String, jobs: Collection<Int>) =
        assertEquals(jobs.associateWith { status }, jobs.associateWith { user(it).status })

    private fun SimSite.assertNeverStarted(jobs: Collection<Int>) =
        assertEquals(emptyList<Int>(), jobs.filter { user(it).firstStartAtMs != null }, "these started")

    /** Of a whole pipeline, [cancelled] and what comes after it ended cancelled, all else was done. */
    private fun SimSite.assertCancelledFrom(shape: Shape, cancelled: Int) {
        val followers = shape.after(cancelled)
        assertStatus("aborted", followers + cancelled)
        assertNeverStarted(followers)
        assertStatus("done", shape.jobs - followers - cancelled)
    }

    /** The answer to one request at [node]. */
    private fun SimSite.answerAt(node: Int, request: Request): Reply? {
        var reply: Reply? = null
        var over = false
        requestAt(node, request) {
            reply = it
            over = true
        }
        await(6.0) { over }
        return reply
    }

    /** The status of the answer to a submission of `job-[number]` with this text as the field `dependencies`. */
    private fun SimSite.submitRaw(number: Int, dependencies: String, node: Int = 0): Reply? {
        val body = submissionBody(SimSite.job(number, tasks = 1), emptyList()).decodeToString().dropLast(1) + ",\"awaits\":$dependencies}"
        return answerAt(node, Request(Method.POST, "/submissions", body.encodeToByteArray()))
    }

    // ---- in order ----

    @ParameterizedTest
    @CsvSource("CHAIN,501", "CHAIN,502", "DIAMOND,503", "DIAMOND,504", "FAN,505", "FAN,506")
    fun `each job starts when all its dependencies are done, and all jobs are done`(shape: Shape, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 5.0)
        val last = shape.levels.last().single()
        // A service may come after arrays.
        site.submit(SimSite.job(500, tasks = 2, service = true, spot = false), listOf(id(last))) { null }
        site.run(60.0)
        site.assertRulesHold()
        site.assertStatus("done", shape.jobs)
        assertEquals(2, site.runningTasks().keys.count { it.job == id(500) }, "the service does not run")
        for ((job, needed) in shape.dependencies) {
            val releasedAtMs = needed.maxOf { site.user(it).completedAtMs!! }
            val waitedMs = site.user(job).firstStartAtMs!! - releasedAtMs
            assertTrue(waitedMs in 0.0..MAX_RELEASE_DELAY_MS, "job-$job began $waitedMs ms after its release")
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [511, 512])
    fun `a job may depend on one that was done long ago, also before the controllers started`(seed: Long) {
        val site = SimSite(Simulation(seed), endedBefore = 3)
        site.submit(SimSite.job(1, tasks = 3)) { 4.0 }
        site.submit(SimSite.job(2, tasks = 1), listOf(id(1))) { 4.0 }
        site.await(60.0) { site.user(2).status == "done" }
        site.run(60.0)
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(15.0)
        site.submit(SimSite.job(3, tasks = 2), listOf(id(1), id(2), id(SimSite.FIRST_ENDED_JOB), id(SimSite.FIRST_ENDED_JOB + 2))) { 4.0 }
        site.submit(SimSite.job(4, tasks = 2), listOf(id(3), id(1))) { 4.0 }
        site.assertRulesHold()
        site.assertStatus("done", listOf(3, 4))
    }

    @ParameterizedTest
    @ValueSource(longs = [516, 517])
    fun `a dependent job is added late, while its dependency runs`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 2, etaS = 30.0)) { 30.0 }
        site.awaitRunning(1)
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(6.0)
        // Named twice is named once.
        site.submit(SimSite.job(2, tasks = 2), listOf(id(1), id(1))) { 4.0 }
        site.await(10.0) { site.user(2).accepted }
        assertTrue(site.isRunning(1), "what it awaits was over already")
        site.assertRulesHold()
        site.assertStatus("done", listOf(1, 2))
    }

    // ---- cancellations ----

    @ParameterizedTest
    @CsvSource(
        "CHAIN,0,521",
        "CHAIN,1,522",
        "CHAIN,2,523",
        "CHAIN,3,524",
        "DIAMOND,0,525",
        "DIAMOND,1,526",
        "DIAMOND,2,527",
        "FAN,0,528",
        "FAN,1,529",
        "FAN,2,530",
    )
    fun `cancelling a running job cancels all its dependents`(shape: Shape, level: Int, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 8.0)
        val cancelled = shape.levels[level].last()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        site.run(SimSite.CANCEL_S)
        site.assertStatus("aborted", shape.after(cancelled) + cancelled)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,1,531", "CHAIN,3,532", "DIAMOND,1,533", "DIAMOND,2,534", "FAN,1,535", "FAN,2,536")
    fun `cancelling a waiting job cancels all its dependents`(shape: Shape, level: Int, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 8.0)
        site.awaitRunning(1)
        val cancelled = shape.levels[level].last()
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        site.cancelAndConfirm(cancelled)
        site.run(SimSite.CANCEL_S)
        site.assertStatus("aborted", shape.after(cancelled) + cancelled)
        site.assertNeverStarted(listOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @ValueSource(longs = [541, 542, 543])
    fun `a cancellation races with the end of the last task, and the dependents follow the answer`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(teamCpus = 100.0))
        val random = site.sim.random
        var raced = 0
        site.onJobComplete = { user ->
            if (user.dependencies.isEmpty()) {
                site.sim.after(random.nextInt(250).toDouble()) {
                    raced++
                    site.cancel(user.spec.id)
                }
            }
        }
        repeat(30) { number ->
            site.sim.after(number * 900.0) {
                site.submit(SimSite.job(100 + number, tasks = 1 + number % 2)) { 3.0 }
                site.submit(SimSite.job(200 + number, tasks = 1), listOf(id(100 + number))) { 3.0 }
                site.submit(SimSite.job(300 + number, tasks = 1), listOf(id(200 + number))) { 3.0 }
            }
        }
        site.run(60.0)
        assertTrue(raced >= 25, "$raced met an end")
        site.assertRulesHold()
        val (done, cancelled) = (0 until 30).partition { site.user(100 + it).status == "done" }
        assertTrue(done.isNotEmpty() && cancelled.isNotEmpty(), "${done.size} done, ${cancelled.size} cancelled")
        site.assertStatus("done", done.flatMap { listOf(200 + it, 300 + it) })
        site.assertStatus("aborted", cancelled.flatMap { listOf(100 + it, 200 + it, 300 + it) })
        site.assertNeverStarted(cancelled.flatMap { listOf(200 + it, 300 + it) })
    }

    @ParameterizedTest
    @CsvSource("DIAMOND,551,true", "CHAIN,552,true", "FAN,553,false", "CHAIN,554,false")
    fun `the leader crashes just before or just after a cancellation`(shape: Shape, seed: Long, before: Boolean) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val former = site.leader()!!
        if (before) site.crash(former, 4000.0)
        site.cancelAndConfirm(cancelled)
        if (!before) site.crash(former, 4000.0)
        site.await(10.0) { site.leader().let { it != null && it != former } }
        site.run(SimSite.CANCEL_S)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,561,12", "DIAMOND,562,45", "FAN,563,45")
    fun `the state service is out right after a cancellation`(shape: Shape, seed: Long, outageS: Double) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        site.state.outage = true
        site.run(outageS)
        assertTrue(site.state.refusedInOutage > 0)
        site.state.outage = false
        site.run(20.0)
        site.assertStatus("aborted", shape.after(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,566", "DIAMOND,567")
    fun `a job is cancelled while the state service is out, and its dependency ends meanwhile`(shape: Shape, seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 10.0)
        site.awaitRunning(1)
        val cancelled = shape.levels[1].first()
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        site.state.outage = true
        site.run(1.0)
        site.cancel(id(cancelled))
        site.run(14.0)
        assertTrue(site.user(cancelled).cancelledAtMs == null && site.user(1).completedAtMs != null, "the outage was too short")
        site.state.outage = false
        site.await(15.0) { site.user(cancelled).finished }
        site.run(SimSite.CANCEL_S)
        site.assertRulesHold()
        if (site.user(cancelled).status == "aborted") site.assertCancelledFrom(shape, cancelled) else site.assertStatus("done", shape.jobs)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,571,3", "DIAMOND,572,12", "FAN,573,35")
    fun `all controllers are down right after a cancellation`(shape: Shape, seed: Long, downS: Double) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        site.cancelAndConfirm(cancelled)
        val beforeThat = shape.after(cancelled).filter { site.user(it).status == "aborted" }
        (0 until site.nodes).forEach { site.crash(it, downS * 1000) }
        assertTrue(beforeThat.size < shape.after(cancelled).size, "all were told before")
        site.run(downS + SimSite.CANCEL_S)
        site.assertStatus("aborted", shape.after(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @CsvSource("FAN,574", "FAN,575", "FAN,579")
    fun `the leader crashes, and the state service is out, as soon as the first final record of a cancelled pipeline is written`(
        shape: Shape,
        seed: Long,
    ) {
        val site = SimSite(Simulation(seed))
        // The whole pipeline waits, so that all of it can be closed as soon as it is cancelled.
        site.submit(SimSite.job(90, tasks = 1, etaS = 20.0)) { 20.0 }
        site.awaitRunning(90)
        shape.jobs.forEach { number ->
            site.submit(SimSite.job(number, tasks = 1), (shape.dependencies[number] ?: listOf(90)).map(::id)) { 5.0 }
        }
        site.await(5.0) { shape.jobs.all { site.user(it).accepted } }
        var interrupted = false
        site.network.tamperAnswer = { _, request, reply ->
            val closes = request.path == "/multi" && "\"${Keys.ended(id(1)).removeSuffix("job-1")}job-" in request.body.decodeToString()
            if (closes && reply.status == 200 && !interrupted) {
                interrupted = true
                site.state.outage = true
                site.crash(site.leader()!!, 6000.0)
            }
            reply
        }
        site.cancel(id(1))
        site.await(20.0) { interrupted }
        val closed = shape.jobs.count { site.state.text(Keys.ended(id(it))) != null }
        assertTrue(closed in 1 until shape.jobs.size, "$closed were closed by then")
        site.run(8.0)
        site.state.outage = false
        site.await(15.0) { site.user(1).cancelledAtMs != null }
        site.run(SimSite.CANCEL_S)
        site.assertRulesHold()
        site.assertCancelledFrom(shape, 1)
    }

    @ParameterizedTest
    @CsvSource("CHAIN,576", "DIAMOND,577", "FAN,578")
    fun `all controllers are down when a job's last task ends`(shape: Shape, seed: Long) {
        val site = SimSite(Simulation(seed))
        var down = 0
        site.onJobComplete = { user ->
            if (user.spec.id == id(1)) {
                down++
                (0 until site.nodes).forEach { site.crash(it, 4000.0) }
            }
        }
        site.submitAll(shape, workS = 6.0)
        site.run(60.0)
        assertTrue(down > 0, "no last task ended")
        site.assertRulesHold()
        site.assertStatus("done", shape.jobs)
    }

    @ParameterizedTest
    @CsvSource("DIAMOND,581,true", "CHAIN,582,true", "DIAMOND,583,false", "FAN,584,false")
    fun `the leader alone is refused by the state service while a job is cancelled`(shape: Shape, seed: Long, peersCut: Boolean) {
        val site = SimSite(Simulation(seed))
        site.submitAll(shape, workS = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val refused = site.leader()!!
        val refusals = site.network.refusals
        site.refuseController(refused)
        if (peersCut) site.cutPeers()
        site.run(0.5)
        site.cancelAndConfirm(cancelled)
        repeat(25) {
            // It has to say what is so, or nothing.
            shape.jobs.forEach { site.poll(id(it), refused) }
            site.run(1.0)
        }
        assertTrue(site.network.refusals > refusals, "it was not refused")
        site.serveController(refused)
        site.heal()
        site.run(SimSite.CANCEL_S - 25.0)
        site.assertStatus("aborted", shape.after(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @EnumSource(Shape::class)
    fun `polls of all controllers right after a cancellation never go back`(shape: Shape) {
        val site = SimSite(Simulation(591L + shape.ordinal))
        site.submitAll(shape, workS = 10.0)
        val cancelled = shape.levels[1].first()
        site.awaitRunning(cancelled)
        val asked = site.network.calls
        repeat(100) { turn ->
            shape.after(cancelled).forEach { follower -> repeat(site.nodes) { site.poll(id(follower), it) } }
            if (turn == 20) site.cancel(id(cancelled))
            site.run(0.05)
        }
        assertTrue(site.network.calls - asked >= 300)
        site.assertStatus("aborted", listOf(cancelled))
        site.assertRulesHold()
        site.assertCancelledFrom(shape, cancelled)
    }

    @ParameterizedTest
    @ValueSource(longs = [601, 602])
    fun `a job that depends on a cancelled one is accepted and ends cancelled, and so do its dependents`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 2)) { 100.0 }
        site.submit(SimSite.job(2, tasks = 1)) { 4.0 }
        site.awaitRunning(1)
        site.cancelAndConfirm(1)
        site.submit(SimSite.job(3, tasks = 2), listOf(id(2), id(1))) { 4.0 }
        site.run(5.0)
        site.submit(SimSite.job(4, tasks = 2), listOf(id(3))) { 4.0 }
        site.run(60.0)
        // By now the cancelled job is long over, and whoever knew it by heart has ended.
        (0 until site.nodes).forEach { site.crash(it, 1500.0) }
        site.run(15.0)
        site.submit(SimSite.job(5, tasks = 2), listOf(id(1))) { 4.0 }
        site.submit(SimSite.job(6, tasks = 2), listOf(id(4), id(2))) { 4.0 }
        site.run(SimSite.CANCEL_S)
        assertEquals(listOf(201, 201, 201, 201), (3..6).map { site.user(it).acceptedStatus })
        site.assertStatus("aborted", listOf(1, 3, 4, 5, 6))
        site.assertNeverStarted(listOf(3, 4, 5, 6))
        site.assertRulesHold()
        site.assertStatus("done", listOf(2))
    }

    @ParameterizedTest
    @CsvSource("606,false", "607,false", "608,true", "609,true")
    fun `a submission races with the cancellation or the end of its dependency`(seed: Long, cancels: Boolean) {
        val site = SimSite(Simulation(seed), scale = SiteScale(teamCpus = 100.0))
        val random = site.sim.random
        var raced = 0

        fun follow(number: Int) = site.sim.after(random.nextInt(200).toDouble()) {
            raced++
            site.submit(SimSite.job(200 + number, tasks = 1), listOf(id(100 + number))) { 3.0 }
        }
        if (!cancels) {
            site.onJobComplete = { user ->
                if (user.dependencies.isEmpty()) {
                    follow(
                        user.spec.id.text
                            .removePrefix("job-1")
                            .toInt(),
                    )
                }
            }
        }
        repeat(24) { number ->
            site.sim.after(number * 1000.0) {
                site.submit(SimSite.job(100 + number, tasks = 1)) { if (cancels) 100.0 else 3.0 }
            }
            if (cancels) {
                site.sim.after(number * 1000.0 + 15_000.0) {
                    site.sim.after(random.nextInt(200).toDouble()) { site.cancel(id(100 + number)) }
                    follow(number)
                }
            }
        }
        site.run(75.0)
        assertEquals(24, raced)
        site.assertRulesHold()
        site.assertStatus(if (cancels) "aborted" else "done", (0 until 24).flatMap { listOf(100 + it, 200 + it) })
        if (cancels) site.assertNeverStarted((0 until 24).map { 200 + it })
    }

    // ---- what may be named ----

    private fun faultFreeSite(seed: Long): SimSite {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1)) { 150.0 }
        site.submit(SimSite.job(500, tasks = 1, service = true, spot = false)) { null }
        site.await(30.0) { site.isRunning(1) && site.isRunning(500) }
        return site
    }

    @Test
    fun `malformed dependency lists are refused with 400`() {
        val site = faultFreeSite(611)
        val malformed =
            listOf("\"job-1\"", "{\"job-1\":1}", "[1]", "[null]", "[\"\"]", "[\"job-\"]", "[\"task-1\"]", "[[\"job-1\"]]", "true", "7")
        val answers = malformed.associateWith { site.submitRaw(50, it)?.status }
        assertEquals(malformed.associateWith { 400 }, answers)
        assertEquals(400, site.submitRaw(50, "[\"job-1\",\"job 1\"]")?.status)
        assertEquals(404, site.answerAt(0, Request(Method.GET, "/submissions/job-50"))?.status)
    }

    @Test
    fun `unknown dependencies, the job itself and services are refused with 422 by every controller`() {
        val site = faultFreeSite(612)
        val impossible = listOf("[\"job-999\"]", "[\"job-50\"]", "[\"job-500\"]", "[\"job-1\",\"job-999\"]", "[\"job-1\",\"job-500\"]")
        for (node in 0 until site.nodes) {
            val answers = impossible.associateWith { site.submitRaw(50, it, node)?.status }
            assertEquals(impossible.associateWith { 422 }, answers, "at controller $node")
        }
        assertEquals(404, site.answerAt(1, Request(Method.GET, "/submissions/job-50"))?.status)
    }

    @Test
    fun `null and an empty list name no dependencies`() {
        val site = faultFreeSite(613)
        // The users' part is played by hand, so that the field can be sent as it is here.
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
    fun `an unknown dependency is no reason for a final refusal while the state service is out`() {
        val site = faultFreeSite(614)
        site.state.outage = true
        site.run(1.0)
        for (node in 0 until site.nodes) {
            assertEquals(503, site.submitRaw(50, "[\"job-999\"]", node)?.status)
            assertEquals(503, site.submitRaw(50, "[\"job-1\"]", node)?.status)
        }
        site.state.outage = false
        site.run(5.0)
        assertEquals(422, site.submitRaw(50, "[\"job-999\"]")?.status)
        val refused = site.leader()!!
        site.refuseController(refused)
        // Another may have accepted it just now: the refused one can't know.
        site.run(1.0)
        val other = (refused + 1) % site.nodes
        assertEquals(422, site.submitRaw(50, "[\"job-999\"]", other)?.status)
        assertTrue(site.submitRaw(50, "[\"job-999\"]", refused)?.status in listOf(null, 503))
        site.assertRulesHold(240.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [616, 617])
    fun `a known job is answered with its status whatever dependencies the repeat names`(seed: Long) {
        val site = faultFreeSite(seed)
        site.submit(SimSite.job(2, tasks = 1), listOf(id(1))) { 4.0 }
        site.submit(SimSite.job(3, tasks = 1)) { 3.0 }
        site.await(30.0) { site.user(2).accepted && site.user(3).status == "done" }
        val other = listOf("[]", "null", "[\"job-3\"]", "[\"job-999\"]", "[\"job-2\"]", "[\"job-3\",\"job-500\"]", "[5]", "\"job-1\"")
        for (dependencies in other) {
            for ((number, status) in listOf(2 to "queued", 3 to "done")) {
                val reply = site.submitRaw(number, dependencies, node = site.sim.random.nextInt(site.nodes))
                assertEquals(200, reply?.status, "job-$number with $dependencies")
                assertEquals(status, Json.read(reply!!.body)!!.stringOrNull("status"), "job-$number with $dependencies")
            }
        }
        // The repeats have changed nothing.
        site.assertNeverStarted(listOf(2))
        site.repeat(site.user(2))
        site.assertRulesHold(240.0)
        site.assertStatus("done", listOf(2))
    }

    // ---- what a blocked job takes and gets ----

    @ParameterizedTest
    @ValueSource(longs = [621, 622])
    fun `no machines are launched for a blocked job`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1, etaS = 90.0)) { 90.0 }
        site.awaitRunning(1)
        site.run(10.0)
        val rented = site.machinesLaunched
        site.submit(SimSite.job(2, tasks = 6, cpus = 8.0, etaS = 40.0), listOf(id(1))) { 40.0 }
        site.run(45.0)
        assertTrue(site.isRunning(1) && site.user(2).accepted)
        site.assertStatus("queued", listOf(2))
        assertEquals(rented, site.machinesLaunched)
        site.assertRulesHold()
        assertTrue(site.machinesLaunched > rented, "it would have needed no machine anyway")
    }

    @ParameterizedTest
    @ValueSource(longs = [626, 627])
    fun `a blocked job takes nothing of its team's limit`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.submit(SimSite.job(1, tasks = 1, etaS = 90.0)) { 90.0 }
        site.awaitRunning(1)
        // Older, urgent, and as large as the team's limit.
        site.submit(SimSite.job(2, tasks = 30, priority = "urgent", etaS = 5.0), listOf(id(1))) { 5.0 }
        site.run(2.0)
        site.submit(SimSite.job(3, tasks = 29, etaS = 40.0)) { 40.0 }
        site.await(40.0) { site.runningTasks().keys.count { it.job == id(3) } == 29 }
        assertTrue(site.isRunning(1))
        site.assertStatus("queued", listOf(2))
        site.assertRulesHold(160.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [628, 629])
    fun `a blocked job preempts nothing that another team has borrowed`(seed: Long) {
        val other = Team(TeamName("others"), 0.0, 200.0, 0.0, 0.0)
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, guaranteedCpus = 16.0), otherTeam = other)
        site.submit(SimSite.job(1, tasks = 1, etaS = 150.0)) { 150.0 }
        site.awaitRunning(1)
        site.submit(SimSite.job(3, tasks = 60, etaS = 110.0, team = other.name)) { 110.0 }
        // All machines that there are, each with room for eight tasks.
        site.await(60.0) { site.runningTasks().size == 4 * 8 }
        site.submit(SimSite.job(2, tasks = 6, etaS = 5.0), listOf(id(1))) { 5.0 }
        val borrowed = site.runningTasks().filterKeys { it.job == id(3) }
        site.run(45.0)
        assertTrue(site.isRunning(1) && site.user(2).accepted)
        assertEquals(borrowed, site.runningTasks().filterKeys { it in borrowed.keys }, "some were recalled")
        // The same work without anything before it does have some recalled.
        site.submit(SimSite.job(4, tasks = 6, etaS = 5.0)) { 5.0 }
        site.await(15.0) { site.isRunning(4) }
        assertTrue(borrowed.keys.any { it !in site.runningTasks() && it.index !in site.user(3).doneTasks }, "there was room for it")
        site.assertRulesHold(300.0)
    }

    /** When the first of a chain begins, in seconds after its submission, while there is more normal work than room. */
    private fun chainBeginsAfterS(seed: Long, lastPriority: String): Double {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 1, teamCpus = 200.0))
        repeat(12) { site.submit(SimSite.job(100 + it, tasks = 32, etaS = 10.0, dueS = 600.0)) { 10.0 } }
        site.await(40.0) { site.runningTasks().size >= 16 }
        site.submit(SimSite.job(1, tasks = 32, etaS = 10.0, dueS = 600.0)) { 10.0 }
        site.submit(SimSite.job(2, tasks = 2, etaS = 5.0, dueS = 600.0, priority = lastPriority), listOf(id(1))) { 5.0 }
        site.assertRulesHold(300.0)
        val first = site.user(1)
        return (first.firstStartAtMs!! - first.requestedAtMs) / 1000
    }

    @ParameterizedTest
    @ValueSource(longs = [631, 632])
    fun `an urgent last job makes its chain go before other normal work`(seed: Long) {
        val normal = chainBeginsAfterS(seed, "normal")
        val urgent = chainBeginsAfterS(seed, "urgent")
        assertTrue(urgent + 10.0 < normal, "after $urgent s where the last job is urgent, else after $normal s")
    }

    private companion object {
        /** How soon a released job begins where there is room for it or a machine has to be rented. */
        const val MAX_RELEASE_DELAY_MS = 30_000.0
    }
}
