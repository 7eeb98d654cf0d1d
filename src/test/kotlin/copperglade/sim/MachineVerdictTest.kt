package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.stream.LongStream

/**
 * Jobs that fail on every machine, in any number, on few machines of any number of shards and controllers.
 *
 * Guards against healthy machines that take no more work because of such jobs, so that other jobs are left waiting for ever, and against
 * faulty machines that go on getting work.
 */
class MachineVerdictTest {
    /** The parts of a scenario that the seed decides. */
    private class Scenario(seed: Long) {
        private val simulation = Simulation(seed)
        private val random = simulation.random
        private val machinesPerZone = 1 + random.nextInt(3)
        private val failingJobs = (1..1 + random.nextInt(6)).map { SimSite.job(300 + it, tasks = 1 + random.nextInt(4), spot = false) }
        private val failingJobIds = failingJobs.mapTo(HashSet()) { it.id }

        /** Started one after the other, so that a later one fails while the former is tried again. */
        private val failingJobIntervalSeconds = random.nextDouble() * 4.0
        private val controllerFaults = random.nextInt(3)

        /** Long tasks that come while the failing jobs are tried. They may take all capacity but that of machines under suspicion. */
        private val longTasks = if (random.nextBoolean()) 4 + random.nextInt(8) else 0
        val site = SimSite(
            simulation,
            nodes = if (random.nextBoolean()) 5 else 3,
            scale = SiteScale(machinesPerZone = machinesPerZone, teamCpus = 400.0, guaranteedCpus = 200.0),
            operatorSettings = OperatorSettings(shardsPerZone = random.nextInt(4)),
        )

        /** Jobs of all kinds, which come once the failing ones have failed. */
        val probes = listOf(
            SimSite.job(401, tasks = 1, spot = false) to 8.0,
            SimSite.job(402, tasks = 5, spot = false) to 8.0,
            SimSite.job(403, tasks = 2, spot = false, estimatedSeconds = 300.0, deadlineSeconds = null) to 300.0,
            SimSite.job(404, tasks = 2, service = true, spot = false) to null,
        )

        init {
            site.failsAfterSeconds = 0.2 + random.nextDouble() * 6.0
            site.fails = { task, _ -> task.job in failingJobIds }
            // Services keep the machines from being replaced, unless the seed leaves them out.
            if (random.nextInt(4) > 0) {
                SimSite.ZONES.forEachIndexed { index, zone ->
                    site.submit(
                        SimSite.job(500 + index, tasks = machinesPerZone, cpus = 1.0, service = true, spot = false, zone = zone),
                    ) { null }
                }
            }
            repeat(4) { submit(SimSite.job(1 + it, tasks = 2, spot = false), 5.0) }
        }

        fun submit(spec: JobSpec, workSeconds: Double?) = site.submit(spec) { workSeconds }

        fun submitFailingJobs() = failingJobs.forEachIndexed { index, spec ->
            site.sim.after(index * failingJobIntervalSeconds * 1000) { submit(spec, 8.0) }
        }

        fun submitLongTasks() = repeat(longTasks) { submit(longTask(it), LONG_TASK_SECONDS) }

        private fun longTask(number: Int) =
            SimSite.job(600 + number, tasks = 1, cpus = 6.0, spot = false, estimatedSeconds = LONG_TASK_SECONDS, deadlineSeconds = null)

        /** The probes that were not started. Beside long tasks only the referee knows whether there was capacity for them. */
        fun probesNotStarted(): List<JobId> = if (longTasks > 0) {
            emptyList()
        } else {
            probes.map { it.first.id }.filter { site.users.getValue(it).firstStartAtMillis == null }
        }

        fun disturbControllers() = repeat(controllerFaults) {
            val node = random.nextInt(site.nodes)
            site.sim.after(random.nextDouble() * 10_000) {
                if (random.nextBoolean()) site.crash(node, 500.0 + random.nextInt(6000)) else site.freezeController(node, 3000.0)
            }
        }

        fun cancelUnfinishedJobs() {
            failingJobIds.forEach(site::cancel)
            repeat(longTasks) { site.cancel(longTask(it).id) }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `jobs that fail on every machine leave no other job waiting beside free capacity`(seed: Long) {
        val scenario = Scenario(seed)
        val site = scenario.site
        site.run(25.0)
        scenario.submitFailingJobs()
        site.run(site.sim.random.nextDouble() * 10.0)
        scenario.submitLongTasks()
        site.run(5.0)
        scenario.disturbControllers()
        site.run(15.0)
        site.recover(0.0)
        scenario.probes.forEach { (spec, workSeconds) -> scenario.submit(spec, workSeconds) }
        site.run(100.0)
        assertEquals(emptyList<String>(), site.breaches)
        assertEquals(emptyList<JobId>(), scenario.probesNotStarted(), "jobs that were not started")
        scenario.cancelUnfinishedJobs()
        site.assertRulesHold(330.0)
    }

    /** Watches a machine that fails each task that is started from now on. */
    private class FaultyMachineWatch(private val site: SimSite, private val machine: String, private val failingJobs: Set<JobId>) {
        private val failedJobs = HashSet<JobId>()
        private var startsAllowed: Int? = null

        init {
            site.fails = { task, on -> task.job in failingJobs || on == machine }
            site.onEnded = { task, on, done -> if (on == machine) recordEnd(task.job, done) }
        }

        /** A task that was running before may complete; the evidence begins anew then. */
        private fun recordEnd(job: JobId, done: Boolean) {
            if (done) {
                failedJobs.clear()
                startsAllowed = null
            } else if (job !in failingJobs && failedJobs.add(job) && failedJobs.size == 2) {
                // Until the failures are reported, starts may be on their way.
                site.sim.after(REPORT_DELAY_MILLIS) { if (failedJobs.size >= 2) startsAllowed = startsAllowed ?: starts() }
            }
        }

        private fun starts() = site.startsOn.getValue(machine)

        fun check() = startsAllowed?.let { assertEquals(it, starts(), "starts on the faulty machine") }
    }

    @ParameterizedTest
    @MethodSource("faultyMachineSeeds")
    fun `a faulty machine beside failing jobs gets no more work once two jobs have failed there, and is replaced`(seed: Long) {
        val simulation = Simulation(seed)
        val random = simulation.random
        // Spare machines: where no other has capacity, a suspect may be tried.
        val site = SimSite(
            simulation,
            scale = SiteScale(machinesPerZone = 5, teamCpus = 400.0, guaranteedCpus = 200.0),
            operatorSettings = OperatorSettings(headroomFactor = 3.0),
        )
        val failingJobs = (1..random.nextInt(4)).mapTo(HashSet()) { JobId("job-${300 + it}") }
        site.fails = { task, _ -> task.job in failingJobs }
        site.submitArrays(20, tasks = 4)
        failingJobs.forEach { id -> site.submit(SimSite.job(id.text.removePrefix("job-").toInt(), tasks = 2)) { 8.0 } }
        site.run(16.0 + random.nextDouble() * 10.0)
        site.await(10.0) { site.runningTasks().isNotEmpty() }
        val running = site.runningTasks().values.toList()
        val faultyMachine = running[random.nextInt(running.size)].name
        val watch = FaultyMachineWatch(site, faultyMachine, failingJobs)
        site.await(60.0) {
            watch.check()
            faultyMachine !in site.workerNames()
        }
        failingJobs.forEach(site::cancel)
        site.assertRulesHold()
    }

    private companion object {
        const val REPORT_DELAY_MILLIS = 3000.0
        const val LONG_TASK_SECONDS = 400.0

        @JvmStatic
        fun seeds(): LongStream = LongStream.range(7100, 7140)

        @JvmStatic
        fun faultyMachineSeeds(): LongStream = LongStream.range(7200, 7212)
    }
}
