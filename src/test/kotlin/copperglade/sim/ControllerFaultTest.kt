package copperglade.sim

import copperglade.protocol.JobId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.LongStream

/**
 * Faults such as an out-of-memory error in the middle of a decision: at any point, in any controller, while jobs depend on each other and
 * are cancelled. A controller that continued after such a fault would decide on partly applied records.
 */
class ControllerFaultTest {
    private fun site(seed: Long) =
        SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0), faultsEndProcess = true)

    /** Submits one job a second; each depends on the job that [dependencyOf] returns, if any, and its tasks run for [workSeconds]. */
    private fun SimSite.submitPipelines(
        maxTasks: Int,
        dependencyOf: (Int) -> Int?,
        workSeconds: (Int) -> Double,
    ) = repeat(JOB_COUNT) { number ->
        sim.after(number * 1_000.0) {
            val dependencies = listOfNotNull(dependencyOf(number)).map { JobId("job-$it") }
            val taskSeconds = workSeconds(number)
            submit(SimSite.job(number, tasks = 1 + sim.random.nextInt(maxTasks), estimatedSeconds = 10.0), dependencies) { taskSeconds }
        }
    }

    @ParameterizedTest
    @MethodSource("anyDecisionSeeds")
    fun `no rule is broken when decisions end in faults`(seed: Long) {
        val site = site(seed)
        val random = site.sim.random
        repeat(JOB_COUNT) { number ->
            site.sim.after(number * 2_000.0) {
                val dependencies = if (number % 3 == 0) emptyList() else listOf(JobId("job-$number"))
                val spec = SimSite.job(number + 1, tasks = 1 + random.nextInt(8), estimatedSeconds = 12.0)
                val workSeconds = 3.0 + random.nextDouble() * 20
                site.submit(spec, dependencies) { workSeconds }
            }
            site.sim.after(number * 2_000.0 + 1_000 + random.nextInt(25_000)) {
                if (number % 3 == 0) site.cancel(JobId("job-${number + 1}"))
            }
        }
        site.run(15.0)
        var faults = 0
        repeat(FAULT_COUNT) {
            site.injectFault(random.nextInt(site.nodes), random.nextInt(MAX_CLOCK_READS))
            faults++
            site.run(FAULT_INTERVAL_SECONDS)
        }
        assertTrue(faults > 0 && site.confirmedCancellations > 0)
        site.assertRulesHold(240.0)
    }

    /**
     * Faults occur while records with a cancellation are applied. Some of the jobs fail on every machine, so that their tasks wait for a
     * long time between two attempts.
     */
    @ParameterizedTest
    @MethodSource("partialCancellationSeeds")
    fun `no rule is broken when cancellations are only partly applied`(seed: Long) {
        val site = site(seed)
        val random = site.sim.random
        var faults = 0
        site.fails = { task, _ -> task.job.isFailing() }
        site.onStateReadsContaining(CANCELLED_FIELD) { node ->
            if (random.nextInt(FAULT_ONE_IN) == 0) {
                faults++
                site.injectFault(node, random.nextInt(UPDATE_CLOCK_READS))
            }
        }
        val cancelled = (0 until JOB_COUNT).filter { it % 4 == 1 || JobId("job-$it").isFailing() }
        site.submitPipelines(
            maxTasks = 6,
            dependencyOf = { number -> (number - 1).takeUnless { number % 4 == 0 || JobId("job-$number").isFailing() } },
            workSeconds = { 4.0 + random.nextDouble() * 20 },
        )
        // Many cancellations coincide with the end of another job, so that one read of the state service returns both.
        site.onJobComplete = { completed ->
            val nextCancelled = cancelled.firstOrNull {
                site.users[JobId("job-$it")]?.let { user -> user.accepted && user.cancelRequestedAtMillis == null }
                    ?: false
            }
            if (nextCancelled != null) site.sim.after(random.nextInt(600).toDouble()) { site.cancel(JobId("job-$nextCancelled")) }
        }
        site.run(100.0)
        cancelled.forEach { site.cancel(JobId("job-$it")) }
        site.run(20.0)
        assertTrue(faults > 0 && site.confirmedCancellations > 0)
        site.stopWatchingStateReads()
        site.assertRulesHold(400.0)
    }

    /**
     * One read of the state service returns the end of one job and the cancellation of another; releasing the dependents of the first ends
     * in a fault. The dependents of the second still have to be reported cancelled in time.
     */
    @ParameterizedTest
    @MethodSource("dependentReleaseSeeds")
    fun `no job is left waiting when releasing another ends in a fault`(seed: Long) {
        val site = site(seed)
        val random = site.sim.random
        var faults = 0
        site.onStateReadsContaining(CANCELLED_FIELD, OUTCOME_KEY_PREFIX) { node ->
            faults++
            site.injectFaultAtRelease(node)
        }
        site.submitPipelines(
            maxTasks = 3,
            dependencyOf = { number -> (number - 2).takeUnless { number % 4 < 2 } },
            workSeconds = { number -> if (number % 4 == 1) 60.0 else 5.0 + random.nextDouble() * 5 },
        )
        // Every fourth job is cancelled at about the time at which the end of the job before it is written.
        site.onJobComplete = { completed ->
            val number = completed.spec.id.text
                .substringAfter('-')
                .toInt()
            if (number % 4 == 0) site.sim.after(random.nextInt(2_000).toDouble()) { site.cancel(JobId("job-${number + 1}")) }
        }
        site.run(80.0)
        (1 until JOB_COUNT step 4).forEach { site.cancel(JobId("job-$it")) }
        site.run(80.0)
        site.stopWatchingStateReads()
        site.assertRulesHold(240.0)
    }

    /** Jobs that fail on every machine are cancelled while their tasks wait for a retry, and faults leave cancellations partly applied. */
    @ParameterizedTest
    @MethodSource("retryDelaySeeds")
    fun `no task of a cancelled job is retried after a fault`(seed: Long) {
        val site = site(seed)
        val random = site.sim.random
        val faultyNodes = HashSet<Int>()
        site.fails = { task, _ -> task.job.isFailing() }
        site.onStateReadsContaining(CANCELLED_FIELD) { node ->
            if (random.nextInt(FAULT_ONE_IN) == 0 && faultyNodes.add(node)) site.injectFault(node, random.nextInt(SMALL_UPDATE_CLOCK_READS))
        }
        repeat(JOB_COUNT) { number ->
            val tasks = if (JobId("job-$number").isFailing()) 1 else 6
            site.sim.after(number * 1_000.0) { site.submit(SimSite.job(number, tasks, estimatedSeconds = 10.0)) { 10.0 } }
        }
        site.run(45.0)
        // Without the peer link, shard owners receive cancellations only by reading the state service.
        site.cutPeers()
        val cancelled = (0 until JOB_COUNT).map { JobId("job-$it") }.filter { it.isFailing() }
        cancelled.forEachIndexed { index, job -> site.sim.after(index * 4_000.0) { site.cancel(job) } }
        site.run(60.0)
        assertTrue(faultyNodes.isNotEmpty() && site.confirmedCancellations > 0)
        site.stopWatchingStateReads()
        site.assertRulesHold(240.0)
    }

    /** Calls [action] with a controller's number just before it receives an answer of the state service that contains all [fragments]. */
    private fun SimSite.onStateReadsContaining(vararg fragments: String, action: (Int) -> Unit) {
        network.tamperAnswer = { passage, request, reply ->
            val node = passage.to.substringAfter("lorry-", "").toIntOrNull()
            val body = if (node != null && request.path.startsWith("/changes")) reply.body.decodeToString() else ""
            if (node != null && fragments.all { it in body }) action(node)
            reply
        }
    }

    /** Undoes [onStateReadsContaining]. */
    private fun SimSite.stopWatchingStateReads() {
        network.tamperAnswer = { _, _, reply -> reply }
    }

    private fun JobId.isFailing() = text.substringAfter('-').toInt() % 5 == 2

    private companion object {
        const val CANCELLED_FIELD = "\"cancelled\":true"
        const val OUTCOME_KEY_PREFIX = "cg/now/work/"
        const val JOB_COUNT = 40
        const val SMALL_UPDATE_CLOCK_READS = 5
        const val UPDATE_CLOCK_READS = 25
        const val FAULT_ONE_IN = 3
        const val FAULT_COUNT = 12
        const val MAX_CLOCK_READS = 600
        const val FAULT_INTERVAL_SECONDS = 6.0

        @JvmStatic
        fun anyDecisionSeeds(): LongStream = LongStream.range(7000, 7020)

        @JvmStatic
        fun partialCancellationSeeds(): LongStream = LongStream.range(7000, 7040)

        @JvmStatic
        fun dependentReleaseSeeds(): LongStream = LongStream.range(7000, 7040)

        @JvmStatic
        fun retryDelaySeeds(): LongStream = LongStream.range(7050, 7080)
    }
}
