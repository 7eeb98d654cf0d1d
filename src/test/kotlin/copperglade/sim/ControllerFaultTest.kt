package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.LongStream

/**
 * Decisions that end in a fault midway, as where memory runs out: at any point, in any controller, while jobs wait for each
 * other and are cancelled. A controller that went on after that would act on records of which a part never reached the parts of it
 * that decide.
 */
class ControllerFaultTest {
    @ParameterizedTest
    @MethodSource("anywhereSeeds")
    fun `no rule is broken where decisions end in faults`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0), faultsEndProcess = true)
        val random = site.sim.random
        repeat(JOBS) { number ->
            site.sim.after(number * 2_000.0) {
                val before = if (number % 3 == 0) emptyList() else listOf(JobId("job-$number"))
                val spec = SimSite.job(number + 1, tasks = 1 + random.nextInt(8), etaS = 12.0)
                val workS = 3.0 + random.nextDouble() * 20
                site.submit(spec, before) { workS }
            }
            site.sim.after(number * 2_000.0 + 1_000 + random.nextInt(25_000)) {
                if (number % 3 == 0) site.cancel(JobId("job-${number + 1}"))
            }
        }
        site.run(15.0)
        var faults = 0
        repeat(FAULTS) {
            site.injectFault(random.nextInt(site.nodes), random.nextInt(MAX_READINGS))
            faults++
            site.run(FAULT_INTERVAL_S)
        }
        assertTrue(faults > 0 && site.confirmedCancellations > 0)
        site.assertRulesHold(240.0)
    }

    /**
     * The same where a reading that tells of a cancellation is taken in. Some of the jobs fail wherever they run, so that their tasks
     * wait for long between two tries.
     */
    @ParameterizedTest
    @MethodSource("halvesSeeds")
    fun `no rule is broken where cancellations are only partly applied`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0), faultsEndProcess = true)
        val random = site.sim.random
        var faults = 0
        site.fails = { task, _ -> task.job.isFailing() }
        site.onReadingsOf(CANCELLED_MARK) { node ->
            if (random.nextInt(FAULT_ONE_IN) == 0) {
                faults++
                site.injectFault(node, random.nextInt(READINGS_PER_TURN))
            }
        }
        val cancelled = (0 until JOBS).filter { it % 4 == 1 || JobId("job-$it").isFailing() }
        repeat(JOBS) { number ->
            site.sim.after(number * 1_000.0) {
                val before = if (number % 4 == 0 || JobId("job-$number").isFailing()) emptyList() else listOf(JobId("job-${number - 1}"))
                val workS = 4.0 + random.nextDouble() * 20
                site.submit(SimSite.job(number, tasks = 1 + random.nextInt(6), etaS = 10.0), before) { workS }
            }
        }
        // Many cancellations come at the moment at which another job ends, so that one reading tells of both.
        site.onJobComplete = { ended ->
            val next = cancelled.firstOrNull {
                site.users[JobId("job-$it")]?.let { user -> user.accepted && user.cancelRequestedAtMs == null }
                    ?: false
            }
            if (next != null) site.sim.after(random.nextInt(600).toDouble()) { site.cancel(JobId("job-$next")) }
        }
        site.run(100.0)
        cancelled.forEach { site.cancel(JobId("job-$it")) }
        site.run(20.0)
        assertTrue(faults > 0 && site.confirmedCancellations > 0)
        site.network.tamperAnswer = { _, _, reply -> reply }
        site.assertRulesHold(400.0)
    }

    /**
     * A reading tells that one job is done and that another is cancelled; releasing what waited for the first ends in a fault. What waited
     * for the second must be called cancelled in time all the same.
     */
    @ParameterizedTest
    @MethodSource("releaseSeeds")
    fun `no job is left waiting where releasing another ends in a fault`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0), faultsEndProcess = true)
        val random = site.sim.random
        var faults = 0
        site.onReadingsOf(CANCELLED_MARK, OUTCOME_RECORD) { node ->
            faults++
            site.injectFaultAtRelease(node)
        }
        repeat(JOBS) { number ->
            site.sim.after(number * 1_000.0) {
                val before = if (number % 4 < 2) emptyList() else listOf(JobId("job-${number - 2}"))
                val workS = if (number % 4 == 1) 60.0 else 5.0 + random.nextDouble() * 5
                site.submit(SimSite.job(number, tasks = 1 + random.nextInt(3), etaS = 10.0), before) { workS }
            }
        }
        // Each fourth job is cancelled at about the moment at which the end of the one before it is written down.
        site.onJobComplete = { ended ->
            val number = ended.spec.id.text
                .substringAfter('-')
                .toInt()
            if (number % 4 == 0) site.sim.after(random.nextInt(2_000).toDouble()) { site.cancel(JobId("job-${number + 1}")) }
        }
        site.run(80.0)
        (1 until JOBS step 4).forEach { site.cancel(JobId("job-$it")) }
        site.run(80.0)
        site.network.tamperAnswer = { _, _, reply -> reply }
        site.assertRulesHold(240.0)
    }

    /** Jobs that fail on every machine are cancelled while their tasks wait for the next try, and that is taken in by halves. */
    @ParameterizedTest
    @MethodSource("retrySeeds")
    fun `no task of a cancelled job is retried after a fault`(seed: Long) {
        val site = SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0), faultsEndProcess = true)
        val random = site.sim.random
        val faulty = HashSet<Int>()
        site.fails = { task, _ -> task.job.isFailing() }
        site.onReadingsOf(CANCELLED_MARK) { node ->
            if (random.nextInt(FAULT_ONE_IN) == 0 && faulty.add(node)) site.injectFault(node, random.nextInt(READINGS_PER_SMALL_TURN))
        }
        repeat(JOBS) { number ->
            val tasks = if (JobId("job-$number").isFailing()) 1 else 6
            site.sim.after(number * 1_000.0) { site.submit(SimSite.job(number, tasks, etaS = 10.0)) { 10.0 } }
        }
        site.run(45.0)
        // So that owners learn of cancellations by their readings alone.
        site.cutPeers()
        val cancelled = (0 until JOBS).map { JobId("job-$it") }.filter { it.isFailing() }
        cancelled.forEachIndexed { index, job -> site.sim.after(index * 4_000.0) { site.cancel(job) } }
        site.run(60.0)
        assertTrue(faulty.isNotEmpty() && site.confirmedCancellations > 0)
        site.network.tamperAnswer = { _, _, reply -> reply }
        site.assertRulesHold(240.0)
    }

    /** Calls [then] with a controller's number just before that gets a reading of the state service that has all the [parts] in it. */
    private fun SimSite.onReadingsOf(vararg parts: String, then: (Int) -> Unit) {
        network.tamperAnswer = { passage, request, reply ->
            val node = passage.to.substringAfter("lorry-", "").toIntOrNull()
            val body = if (node != null && request.path.startsWith("/changes")) reply.body.decodeToString() else ""
            if (node != null && parts.all { it in body }) then(node)
            reply
        }
    }

    private fun JobId.isFailing() = text.substringAfter('-').toInt() % 5 == 2

    private companion object {
        const val CANCELLED_MARK = "\"cancelled\":true"
        const val OUTCOME_RECORD = "cg/now/work/"
        const val JOBS = 40
        const val READINGS_PER_SMALL_TURN = 5
        const val READINGS_PER_TURN = 25
        const val FAULT_ONE_IN = 3
        const val FAULTS = 12
        const val MAX_READINGS = 600
        const val FAULT_INTERVAL_S = 6.0

        @JvmStatic
        fun anywhereSeeds(): LongStream = LongStream.range(7000, 7020)

        @JvmStatic
        fun halvesSeeds(): LongStream = LongStream.range(7000, 7040)

        @JvmStatic
        fun releaseSeeds(): LongStream = LongStream.range(7000, 7040)

        @JvmStatic
        fun retrySeeds(): LongStream = LongStream.range(7050, 7080)
    }
}
