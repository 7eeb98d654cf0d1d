package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.MachineName
import copperglade.protocol.TaskId
import copperglade.shards.ShardMap
import copperglade.standin.StandInWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.stream.LongStream

/**
 * Machines that lose power and boot again at once, with a worker that counts from the start again, and that lose the network soon after.
 * Guards against a task that is started elsewhere while the lease of the machine's new worker still keeps it running.
 */
class MachineRestartTest {
    /** Called at each step of a message, so that a test can disturb a machine between two steps. */
    private var onWire: (WireEvent) -> Unit = {}

    /**
     * A site of twelve machines, each almost filled by a service. As many of them as there are [tasks] run one more task, so that a machine
     * beside them has room for it at once.
     */
    private fun siteWithRoom(seed: Long, tasks: Int = TASKS): SimSite {
        val scale = SiteScale(machinesPerZone = MACHINES / 2, heartbeatIntervalSeconds = 2.0, teamCpus = 400.0)
        val site = SimSite(Simulation(seed), scale = scale, wireObserver = { onWire(it) })
        repeat(MACHINES) { site.submit(serviceSpec(it)) { null } }
        site.await(60.0) { site.runningTasks().size == MACHINES }
        repeat(tasks) { number -> site.submit(taskSpec(number)) { TASK_SECONDS } }
        site.await(30.0) { site.runningTasks().size == MACHINES + tasks }
        return site
    }

    private fun serviceSpec(number: Int) =
        SimSite.job(FIRST_SERVICE + number, tasks = 1, cpus = 14.0, service = true, spot = false)

    private fun taskSpec(number: Int) = SimSite.job(
        number + 1,
        tasks = 1,
        cpus = 2.0,
        spot = false,
        image = TASK_IMAGE,
        imageGb = TASK_IMAGE_GB,
        estimatedSeconds = TASK_SECONDS,
        deadlineSeconds = null,
    )

    private fun shardOf(site: SimSite, worker: StandInWorker) = ShardMap(
        SimSite.ZONES,
        site.nodes,
    ).of(MachineName(worker.name), worker.zone)

    /** A task beside whose machine another one of the same shard has room for it, so that its shard's owner could start it there at once. */
    private fun movableTask(site: SimSite): Map.Entry<TaskId, StandInWorker> {
        val workers = site.workerNames().map(site::workerNamed)
        return site.runningTasks().entries.first { (task, worker) ->
            task.job.number < FIRST_SMALL_TASK &&
                workers.any { it !== worker && shardOf(site, it) == shardOf(site, worker) && it.freeCpus() >= 2.0 }
        }
    }

    /** Leaves the task of an array alone on its machine, so that no other task of the machine takes the room on the machine beside it. */
    private fun cancelServiceOn(site: SimSite, worker: StandInWorker) {
        val services = site
            .runningTasks()
            .filterValues { it === worker }
            .keys
            .map { it.job }
            .filter { it.number >= FIRST_SERVICE }
        services.forEach(site::cancel)
        site.await(20.0) { site.runningTasks().keys.none { it.job in services } }
    }

    private fun servicesOn(site: SimSite, worker: StandInWorker) = site
        .runningTasks()
        .filterValues { it === worker }
        .keys
        .map { it.job }
        .filter { it.number in FIRST_SERVICE until FIRST_SERVICE + MACHINES }

    private val JobId.number: Int get() = text.substringAfter('-').toInt()

    /** Lets time pass until the lease of [worker] is about to be renewed. */
    private fun awaitOldLease(site: SimSite, worker: StandInWorker) = awaitClosely(site) { worker.leaseAgeMillis >= OLD_LEASE_MILLIS }

    private fun awaitClosely(site: SimSite, holds: () -> Boolean) {
        val end = site.sim.nowMillis + 20_000.0
        while (!holds() && site.sim.nowMillis < end) site.run(0.005)
        assertTrue(holds(), "the condition did not hold within 20 s")
    }

    private fun rebootAndAwaitStart(site: SimSite, machine: String, task: TaskId) {
        val startsBefore = site.startsOn.getValue(machine)
        site.rebootMachineNamed(machine, offMillis = 50.0)
        awaitClosely(site) { site.startsOn.getValue(machine) > startsBefore && site.runningTasks()[task]?.name == machine }
    }

    private fun assertHoldsWhileCut(site: SimSite, machine: String) {
        site.cutMachineNamed(machine)
        site.run(SimSite.LEASE_SECONDS * 2)
        assertEquals(emptyList<String>(), site.breaches)
        site.heal()
        site.run(20.0)
        assertEquals(emptyList<String>(), site.breaches)
    }

    /** The owner counted the lease from the last acknowledgement to the worker's former incarnation. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `a task that a restarted machine has started again is not started elsewhere before the new lease has expired`(seed: Long) {
        val site = siteWithRoom(seed)
        val (task, worker) = movableTask(site)
        cancelServiceOn(site, worker)
        awaitOldLease(site, worker)
        rebootAndAwaitStart(site, worker.name, task)
        assertHoldsWhileCut(site, worker.name)
    }

    /** The owner hears neither of the restart nor of the start. */
    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `a task whose start was under way when its machine restarted is not started elsewhere too early`(seed: Long) {
        val site = siteWithRoom(seed)
        val worker = machineOfFirstSmallTask(site)
        cancelServiceOn(site, worker)
        awaitClosely(site) { worker.leaseAgeMillis in 1000..1200 }
        submitAndDisturbAtStart(site, worker.name) {
            site.network.delayMillis = { if (it.to == worker.name && it.path == HEARTBEAT && it.isAnswer) 80.0 else 0.0 }
            site.rebootMachineNamed(worker.name, offMillis = 20.0)
            site.network.losesMessage = { it.from == worker.name }
        }
    }

    /** The start reaches the restarted worker, and nothing is heard of that worker afterwards. */
    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `a task whose start reached a restarted machine is not started elsewhere if the reply is lost`(seed: Long) {
        val site = siteWithRoom(seed)
        val worker = machineOfFirstSmallTask(site)
        cancelServiceOn(site, worker)
        site.rebootMachineNamed(worker.name, offMillis = 20.0)
        site.run(2.0)
        submitAndDisturbAtStart(site, worker.name) {
            site.network.losesMessage = { it.from == worker.name }
            site.after(1.0) { assertEquals(worker.name, site.runningTasks()[TaskId(id(FIRST_SMALL_TASK + 1), 0)]?.name) }
        }
    }

    /** The second restart goes unnoticed while a start reaches the worker, since its replies to direct commands are lost. */
    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `a task that a worker started before its second restart was noticed is not started elsewhere`(seed: Long) {
        val site = siteWithRoom(seed)
        val worker = machineOfFirstSmallTask(site)
        cancelServiceOn(site, worker)
        site.rebootMachineNamed(worker.name, offMillis = 20.0)
        // The sequence numbers of the worker's next incarnation stay below this one's for half a minute.
        site.run(30.0)
        site.submit(smallTask(FIRST_SMALL_TASK + 1)) { TASK_SECONDS }
        var requested = false
        onWire = { event ->
            if (!requested && event.step == WireStep.REQUEST_SENT && event.to == worker.name && event.requestsHeartbeat()) {
                requested = true
                site.network.losesMessage = { it.to == worker.name && it.path == COMMAND }
                site.rebootMachineNamed(worker.name, offMillis = 20.0)
            }
        }
        awaitClosely(site) { site.runningTasks()[TaskId(id(FIRST_SMALL_TASK + 1), 0)]?.name == worker.name }
        assertTrue(requested, "no heartbeat was requested")
        site.run(6.0)
        site.stopLosingMessages()
        // The owner hears of the restart, and its next messages don't reach the worker.
        onWire = { event ->
            if (event.step == WireStep.ANSWER_SENT && event.from == worker.name) site.network.losesMessage = { it.to == worker.name }
        }
        site.run(SimSite.LEASE_SECONDS * 2)
        assertEquals(emptyList<String>(), site.breaches)
        site.assertRulesKept()
    }

    private fun WireEvent.requestsHeartbeat() = request.path == COMMAND && "/${JobSpec.MAX_TASKS}\"" in request.body.decodeToString()

    /** Submits a small task and calls [disturb] as soon as its start is sent to [machine]; then no rule may be broken. */
    private fun submitAndDisturbAtStart(site: SimSite, machine: String, disturb: () -> Unit) {
        site.submit(smallTask(FIRST_SMALL_TASK + 1)) { TASK_SECONDS }
        var startSent = false
        onWire = { event ->
            if (!startSent && event.to == machine && event.startsSmallTask()) {
                startSent = true
                disturb()
            }
        }
        awaitClosely(site) { startSent }
        site.run(SimSite.LEASE_SECONDS * 2)
        assertTrue(site.startsOf.getValue(id(FIRST_SMALL_TASK + 1)) >= 1, "the start was not executed")
        assertEquals(emptyList<String>(), site.breaches)
        site.assertRulesKept()
    }

    /** Each restart begins a lease of its own. */
    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24, 25, 26])
    fun `a task that a machine has started again after each of two restarts is not started elsewhere too early`(seed: Long) {
        val site = siteWithRoom(seed)
        val (task, worker) = movableTask(site)
        cancelServiceOn(site, worker)
        awaitOldLease(site, worker)
        rebootAndAwaitStart(site, worker.name, task)
        rebootAndAwaitStart(site, worker.name, task)
        assertHoldsWhileCut(site, worker.name)
    }

    /** The successor knows nothing of the restart, and reckons with any lease that began before it was granted the shard. */
    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35, 36])
    fun `a task that a restarted machine has started again is not started elsewhere too early by the shard's next owner`(seed: Long) {
        val site = siteWithRoom(seed)
        val (task, worker) = movableTask(site)
        cancelServiceOn(site, worker)
        val owner = worker.reportsTo
        awaitOldLease(site, worker)
        rebootAndAwaitStart(site, worker.name, task)
        site.crash(owner, if (seed % 2 == 0L) 20_000.0 else 150.0)
        assertHoldsWhileCut(site, worker.name)
    }

    /** The last heartbeat of the former incarnation has a higher sequence number than any that the owner had received. */
    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44, 45, 46])
    fun `a heartbeat that a machine sent before its restart and that arrives long after it changes nothing`(seed: Long) {
        val site = siteWithRoom(seed)
        val (task, worker) = movableTask(site)
        cancelServiceOn(site, worker)
        // The sequence numbers of the restarted worker stay below the late heartbeat's for a minute.
        site.run(60.0)
        var lateHeartbeat = false
        onWire = { event ->
            if (!lateHeartbeat && event.step == WireStep.REQUEST_SENT && event.from == worker.name && event.request.path == HEARTBEAT) {
                lateHeartbeat = true
                site.network.delayMillis = { if (it.from == worker.name && !it.isAnswer) LATE_MILLIS else 0.0 }
                site.sim.after(1.0) { site.network.delayMillis = { 0.0 } }
                site.rebootMachineNamed(worker.name, offMillis = 50.0)
            }
        }
        awaitClosely(site) { lateHeartbeat }
        awaitClosely(site) { site.runningTasks()[task] != null }
        assertEquals(worker.name, site.runningTasks().getValue(task).name, "the task was not started there again")
        val startsBefore = site.startsOf.getValue(task.job)
        site.run(LATE_MILLIS / 1000 * 2)
        assertEquals(emptyList<String>(), site.breaches)
        assertEquals(startsBefore, site.startsOf.getValue(task.job), "the running task was started once more")
        site.assertRulesKept()
    }

    /** The start arrives after the release, at the worker that asked for it or, with even seeds, at none since the machine restarts. */
    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54, 55, 56])
    fun `a task whose start was in flight when its shard was released is not started elsewhere too early`(seed: Long) {
        val site = siteWithRoom(seed, tasks = 0)
        site.network.delayMillis = { if (it.path == HEARTBEAT && it.isAnswer) SLOW_RESPONSE_MILLIS else 0.0 }
        val startArrivesAt = HashMap<String, Double>()
        var machine: String? = null
        var releases = 0
        onWire = { event ->
            val body = event.request.body.decodeToString()
            if (event.startsTasks()) startArrivesAt[event.to] = event.atMillis + SLOW_RESPONSE_MILLIS
            val released = RELEASED_SHARD.find(body)?.groupValues?.get(1)
            if (machine == null && released != null && event.step == WireStep.REQUEST_SENT) {
                releases++
                machine = startArrivesAt.entries
                    .firstOrNull {
                        shardOf(site, site.workerNamed(it.key)).text == released &&
                            it.value - event.atMillis > LONG_IN_FLIGHT_MILLIS
                    }?.key
                machine?.let {
                    loseContactBeforeStartArrives(
                        site,
                        it,
                        startArrivesAt.getValue(it) - event.atMillis,
                        restarts =
                            seed % 2 == 0L,
                    )
                }
            }
        }
        var round = 0
        while (machine == null && round < MAX_ROUNDS) moveShardsWhileTasksStart(site, round++)
        assertTrue(machine != null, "no start was under way to a machine of a released shard")
        assertTrue(releases > 0, "no shard was released")
        site.run(SimSite.LEASE_SECONDS * 2)
        assertEquals(emptyList<String>(), site.breaches)
        site.assertRulesKept()
    }

    /** None of [machine]'s heartbeats arrives from now on. If it [restarts], it is off until just before a start arrives [inMillis] from now. */
    private fun loseContactBeforeStartArrives(site: SimSite, machine: String, inMillis: Double, restarts: Boolean) {
        // The machine beside it has no room for its service, which would keep that machine from smaller tasks.
        servicesOn(site, site.workerNamed(machine)).forEach(site::cancel)
        if (restarts) site.rebootMachineNamed(machine, offMillis = inMillis - 10.0)
        site.holdHeartbeats(listOf(machine))
        site.network.delayMillis = { 0.0 }
    }

    /** Lets the leader move shards to a controller that comes back, while small tasks are started all the time. */
    private fun moveShardsWhileTasksStart(site: SimSite, round: Int) {
        val away = (0 until site.nodes).first { it != site.leader() }
        site.crash(away, restartAfterMillis = 25_000.0)
        site.run(24.0)
        repeat(60) { number ->
            site.after(number * 0.1) { site.submit(smallTask(FIRST_MOVED_TASK + round * 60 + number, cpus = 0.05)) { 30.0 } }
        }
        site.run(15.0)
    }

    private fun WireEvent.startsTasks() = step == WireStep.ANSWER_SENT && request.path == HEARTBEAT && "\"start\"" in answerBody()

    private fun WireEvent.answerBody() = reply?.body?.decodeToString().orEmpty()

    /** Restarts and losses of the network at random moments, in each direction, also twice in a row and across a change of owner. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no task runs twice when machines restart and lose the network at random moments`(seed: Long) {
        val site = siteWithRoom(seed)
        val random = site.sim.random
        repeat(6) { number ->
            repeat(2) { site.submit(smallTask(FIRST_SMALL_TASK + number * 2 + it)) { 8.0 + random.nextInt(30) } }
            site.run(random.nextDouble() * 4.0)
            val machine = site.workerNames()[random.nextInt(site.workerCount())]
            repeat(1 + random.nextInt(2)) {
                site.rebootMachineNamed(machine, offMillis = 20.0 + random.nextInt(400))
                site.run(0.45 + random.nextDouble() * 1.2)
            }
            when (random.nextInt(4)) {
                0 -> site.cutMachineNamed(machine)
                1 -> site.holdHeartbeats(listOf(machine))
                2 -> site.network.losesMessage = { it.from == machine }
                else -> site.network.losesMessage = { it.from == machine && it.path == COMMAND || it.to == machine && it.isAnswer }
            }
            if (random.nextInt(4) == 0) site.crash(random.nextInt(site.nodes), 150.0 + random.nextInt(6000))
            site.run(4.0 + random.nextDouble() * 16.0)
            site.heal()
            site.stopLosingMessages()
            site.run(random.nextDouble() * 6.0)
        }
        site.assertRulesKept()
    }

    private fun smallTask(number: Int, cpus: Double = 0.25) = SimSite.job(
        number,
        tasks = 1,
        cpus = cpus,
        spot = false,
        image = TASK_IMAGE,
        imageGb = TASK_IMAGE_GB,
        estimatedSeconds = TASK_SECONDS,
        deadlineSeconds = null,
    )

    /** Starts a small task, and returns the worker on whose machine it runs. The next small tasks are likely to be placed there as well. */
    private fun machineOfFirstSmallTask(site: SimSite): StandInWorker {
        site.submit(smallTask(FIRST_SMALL_TASK)) { TASK_SECONDS }
        site.await(20.0) { site.runningTasks().keys.any { it.job == id(FIRST_SMALL_TASK) } }
        return site
            .runningTasks()
            .entries
            .first { it.key.job == id(FIRST_SMALL_TASK) }
            .value
    }

    private fun WireEvent.startsSmallTask() = startsTasks() && "job-${FIRST_SMALL_TASK + 1}/0" in answerBody()

    /** Ends the faults, and asserts that no rule is broken and every user is answered. */
    private fun SimSite.assertRulesKept() {
        onWire = {}
        recover(60.0)
        checkAnswered()
        assertEquals(emptyList<String>(), breaches)
    }

    private companion object {
        @JvmStatic
        fun seeds(): LongStream = LongStream.range(2000, 2040)

        const val HEARTBEAT = "/checkin"
        const val COMMAND = "/do"
        const val FIRST_SMALL_TASK = 100

        const val TASK_IMAGE = 2

        /** Small enough that a task that is released runs elsewhere at once. */
        const val TASK_IMAGE_GB = 0.005
        const val LATE_MILLIS = 6000.0
        const val SLOW_RESPONSE_MILLIS = 1300.0
        const val LONG_IN_FLIGHT_MILLIS = 900.0
        const val FIRST_MOVED_TASK = 1000
        const val MAX_ROUNDS = 10
        val RELEASED_SHARD = Regex("\"drop\":\"[^\"]*block/([^\"]*)\"")
        const val MACHINES = 12
        const val TASKS = 8
        const val FIRST_SERVICE = 500
        const val TASK_SECONDS = 300.0

        /** Almost the heartbeat interval of 2 s: the longest time by which a new lease may begin after the last acknowledgement. */
        const val OLD_LEASE_MILLIS = 1850
    }
}
