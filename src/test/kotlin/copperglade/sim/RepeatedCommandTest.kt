package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.TaskId
import copperglade.standin.StandInWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.stream.LongStream

/**
 * Direct commands that a worker has executed and answered, and that reach its machine once more. Guards against a task that runs again
 * where it has ended, on two machines or after its job's cancellation.
 */
class RepeatedCommandTest {
    /** What becomes of a task before the commands to its first machine are repeated. */
    enum class Fate { FAILED, PREEMPTED, DONE, CANCELLED, SERVICE_REPLICA_FAILED }

    /** What happens to the machine, or to the owner of its shard, before the commands are repeated. */
    enum class Disturbance {
        NONE,
        MACHINE_BACK_BEFORE_CONTACT,
        MACHINE_BACK_AFTER_CONTACT,
        MACHINE_BACK_TWICE,
        EPOCH_ENDED,
        OWNER_BACK_AT_ONCE,
        OWNER_CHANGED,
        OWNER_CHANGED_AND_MACHINE_BACK,
    }

    /** A site with room for one more task on each of its machines, each of which runs a service. */
    private fun siteWithRoom(seed: Long): SimSite {
        val scale = SiteScale(machinesPerZone = MACHINES / 2, heartbeatIntervalSeconds = 2.0, teamCpus = 400.0, guaranteedCpus = 400.0)
        val site = SimSite(Simulation(seed), scale = scale)
        repeat(
            MACHINES,
        ) { site.submit(SimSite.job(FIRST_SERVICE + it, tasks = 1, cpus = SERVICE_CPUS, service = true, spot = false)) { null } }
        site.await(60.0) { site.runningTasks().size == MACHINES }
        site.run(5.0)
        return site
    }

    private fun taskSpec(service: Boolean = false) = SimSite.job(
        TASK_JOB,
        tasks = 1,
        cpus = TASK_CPUS,
        service = service,
        spot = false,
        image = TASK_IMAGE,
        imageGb = SMALL_IMAGE_GB,
        estimatedSeconds = TASK_SECONDS,
        deadlineSeconds = null,
        priority = if (service) "urgent" else "best_effort",
    )

    private fun workerOf(site: SimSite): StandInWorker? = site.runningTasks()[TASK]

    /** Starts the task, brings about its [fate], and returns the name of the machine where it was first. */
    private fun play(site: SimSite, fate: Fate): String = when (fate) {
        Fate.FAILED -> failOnFirstMachine(site, service = false)
        Fate.SERVICE_REPLICA_FAILED -> failOnFirstMachine(site, service = true)
        Fate.PREEMPTED -> preemptAndMove(site)
        Fate.DONE -> submitAndAwaitStart(site, SHORT_TASK_SECONDS).also {
            site.await(SHORT_TASK_SECONDS * 3) { site.user(TASK_JOB).status == "done" }
        }
        Fate.CANCELLED -> submitAndAwaitStart(site, TASK_SECONDS).also {
            site.cancelAndConfirm(TASK_JOB)
            site.await(20.0) { workerOf(site) == null }
        }
    }

    private fun submitAndAwaitStart(site: SimSite, workSeconds: Double): String {
        site.submit(taskSpec()) { workSeconds }
        site.await(20.0) { workerOf(site) != null }
        return workerOf(site)!!.name
    }

    private fun failOnFirstMachine(site: SimSite, service: Boolean): String {
        var first: String? = null
        site.fails = { task, machine -> task == TASK && machine == (first ?: machine.also { first = it }) }
        site.submit(taskSpec(service)) { if (service) null else TASK_SECONDS }
        site.await(60.0) { workerOf(site)?.let { it.name != first } ?: false }
        return first!!
    }

    /** Urgent tasks fill all machines and preempt the task; it is moved to the first machine that has room again. */
    private fun preemptAndMove(site: SimSite): String {
        val first = submitAndAwaitStart(site, TASK_SECONDS)
        val urgent = (0 until MACHINES).map { FIRST_URGENT + it }
        urgent.forEach {
            site.submit(
                SimSite.job(it, tasks = 1, cpus = ROOM_CPUS, service = true, spot = false, image = TASK_IMAGE),
            ) { null }
        }
        site.await(60.0) { urgent.all(site::isRunning) }
        val (onFirst, elsewhere) = urgent.partition { number ->
            site.runningTasks().any { it.key.job == id(number) && it.value.name == first }
        }
        site.cancel(id(elsewhere.first()))
        site.await(40.0) { workerOf(site) != null }
        onFirst.forEach { site.cancel(id(it)) }
        site.await(40.0) { onFirst.none(site::isRunning) }
        return first
    }

    /** Brings about [disturbance], and has the starts sent to [machine] arrive again afterwards. */
    private fun disturbAndRepeat(site: SimSite, machine: String, disturbance: Disturbance) {
        val owner = site.ownerOf(machine)
        when (disturbance) {
            Disturbance.NONE -> Unit
            Disturbance.MACHINE_BACK_BEFORE_CONTACT -> rebootAndRepeatAtOnce(site, machine)
            Disturbance.MACHINE_BACK_AFTER_CONTACT -> reboot(site, machine)
            Disturbance.MACHINE_BACK_TWICE -> reboot(site, machine).also { rebootAndRepeatAtOnce(site, machine) }
            Disturbance.EPOCH_ENDED -> {
                site.cutMachineNamed(machine)
                site.run(SimSite.LEASE_SECONDS + 2.0)
                repeatStarts(site, machine)
                site.heal()
                site.run(2.0)
            }
            Disturbance.OWNER_BACK_AT_ONCE -> site.crash(owner, restartAfterMillis = 200.0).also { site.run(1.0) }
            Disturbance.OWNER_CHANGED -> changeOwner(site, owner)
            Disturbance.OWNER_CHANGED_AND_MACHINE_BACK -> changeOwner(site, owner).also { rebootAndRepeatAtOnce(site, machine) }
        }
        repeatStarts(site, machine)
    }

    private fun changeOwner(site: SimSite, owner: Int) {
        site.crash(owner, restartAfterMillis = 60_000.0)
        site.run(SimSite.LEASE_SECONDS * 2)
    }

    private fun reboot(site: SimSite, machine: String) {
        site.rebootMachineNamed(machine, OFF_MILLIS)
        site.run(4.0)
    }

    private fun rebootAndRepeatAtOnce(site: SimSite, machine: String) {
        site.rebootMachineNamed(machine, OFF_MILLIS)
        site.sim.after(OFF_MILLIS + 0.1) { repeatStarts(site, machine) }
        site.run(2.0)
    }

    private fun repeatCommands(site: SimSite, machine: String) = site.network.executedCommands
        .filter { it.to == machine }
        .forEach(site.network::repeatCommand)

    /** Without the stops and removals, of which copies would end at once what the copy of a start begins. */
    private fun repeatStarts(site: SimSite, machine: String) = site.network.executedCommands
        .filter { it.to == machine && "\"start\"" in it.request.body.decodeToString() }
        .forEach(site.network::repeatCommand)

    @ParameterizedTest
    @MethodSource("orders")
    fun `a task that has left its machine is not started there again by a repeated command`(
        fate: Fate,
        disturbance: Disturbance,
        seed: Long,
    ) {
        val site = siteWithRoom(seed)
        val machine = play(site, fate)
        val startsBefore = site.startsOf.getValue(id(TASK_JOB))
        disturbAndRepeat(site, machine, disturbance)
        site.run(8.0)
        assertEquals(startsBefore, site.startsOf.getValue(id(TASK_JOB)), "starts")
        // Longer than a cancellation may take.
        site.run(SimSite.CANCEL_SECONDS)
        repeatCommands(site, machine)
        site.run(8.0)
        assertEquals(startsBefore, site.startsOf.getValue(id(TASK_JOB)), "starts, long after")
        assertEquals(emptyList<String>(), site.breaches)
        assertTrue(site.network.repeatedCommands > 0, "no command was repeated")
    }

    /** The order of the incident of December 2026: failed, removed and started elsewhere, then the copy. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a task that failed and was started elsewhere does not run twice when its first start is repeated`(seed: Long) {
        val site = siteWithRoom(seed)
        val machine = play(site, Fate.FAILED)
        site.run(0.7)
        repeatCommands(site, machine)
        site.run(5.0)
        assertEquals(emptyList<String>(), site.breaches)
        assertTrue(site.network.repeatedCommands > 0, "no command was repeated")
    }

    /** Machines and controllers are back within a second at random moments, while every second command comes again. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken when commands are repeated while machines and controllers are back at once`(seed: Long) {
        val site = siteWithRoom(seed)
        val random = site.sim.random
        site.network.repeatCommandOneIn = 2
        site.network.repeatDelayMillis = { 1_000.0 + random.nextInt(12_000) }
        site.fails = { task, machine -> (task.hashCode() + machine.hashCode()) % 3 == 0 && task.job.text.length < LONG_JOB_ID }
        repeat(ROUNDS) { round ->
            val first = 1 + round * JOBS_PER_ROUND
            repeat(JOBS_PER_ROUND) { number ->
                val seconds = 2.0 + random.nextInt(20)
                site.submit(SimSite.job(first + number, tasks = 3, cpus = TASK_CPUS, spot = false, imageGb = SMALL_IMAGE_GB)) { seconds }
            }
            site.run(random.nextDouble() * 4.0)
            site.cancel(JobId("job-${first + random.nextInt(JOBS_PER_ROUND)}"))
            if (random.nextBoolean()) site.rebootMachine(random.nextInt(site.workerCount()))
            if (random.nextInt(3) == 0) site.crash(random.nextInt(site.nodes), 150.0 + random.nextInt(800))
            site.run(4.0 + random.nextDouble() * 4.0)
        }
        site.fails = { _, _ -> false }
        site.network.repeatCommandOneIn = 0
        site.recover(120.0)
        site.checkAnswered()
        assertEquals(emptyList<String>(), site.breaches)
        assertTrue(site.network.repeatedCommands > ROUNDS, "too few commands were repeated")
    }

    private companion object {
        const val MACHINES = 12
        const val FIRST_SERVICE = 500
        const val FIRST_URGENT = 600
        const val TASK_JOB = 1
        val TASK = TaskId(id(TASK_JOB), 0)
        const val TASK_IMAGE = 2
        const val SMALL_IMAGE_GB = 0.005
        const val TASK_CPUS = 2.0
        const val ROOM_CPUS = 6.0
        const val SERVICE_CPUS = 10.0
        const val TASK_SECONDS = 300.0
        const val SHORT_TASK_SECONDS = 3.0
        const val OFF_MILLIS = 50.0
        const val ROUNDS = 8
        const val JOBS_PER_ROUND = 4

        /** Longer than the ids of the arrays here, so that services never fail. */
        const val LONG_JOB_ID = 7

        @JvmStatic
        fun orders(): List<Arguments> = Fate.entries.flatMap { fate ->
            Disturbance.entries.map { arguments(fate, it, 100L + fate.ordinal * Disturbance.entries.size + it.ordinal) }
        }

        @JvmStatic
        fun seeds(): LongStream = LongStream.range(4000, 4020)
    }
}
