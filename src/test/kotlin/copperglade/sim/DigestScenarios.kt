package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.TeamName
import copperglade.settings.OperatorSettings
import copperglade.settings.Team

/** A run of a simulated site that depends on the seed alone. [simulate] asserts nothing and passes every message to the observer. */
class DigestScenario(val name: String, val simulate: (seed: Long, observer: WireObserver) -> Unit)

/** The scenarios in the order in which they are printed. */
val digestScenarios = listOf(
    DigestScenario("print-shop", ::twoTeamsWithoutFaults),
    DigestScenario("parcel-hub", ::zoneCutAndKilledMachines),
    DigestScenario("controller-faults", ::controllerFaults),
    DigestScenario("state-faults", ::stateFaults),
    DigestScenario("network-faults", ::networkFaults),
    DigestScenario("machine-faults", ::machineFaults),
    DigestScenario("mixed-faults", ::mixedFaults),
    DigestScenario("pipelines", ::cancelledPipelines),
    DigestScenario("failing-jobs", ::failingJobs),
    DigestScenario("preemption", ::preemption),
    DigestScenario("stragglers", ::stragglers),
)

/** Three controllers run arrays and services of two guaranteed teams, without faults. */
private fun twoTeamsWithoutFaults(seed: Long, observer: WireObserver) {
    val lender = TeamName("lender")
    val scale = SiteScale(machinesPerZone = 2, teamCpus = 100.0, guaranteedCpus = 32.0)
    val site = SimSite(Simulation(seed), scale = scale, otherTeam = Team(lender, 32.0, 100.0, 0.0, 0.0), wireObserver = observer)
    site.submitServices(3)
    site.submitVariedArrays(jobs = 16)
    site.after(30.0) { site.submit(SimSite.job(201, tasks = 16, team = lender)) { 20.0 } }
    repeat(20) { number -> site.after(number * 3.0) { site.sendOddRequest() } }
    site.run(60.0)
    site.recover(60.0)
}

/** Five controllers run pipelines while a zone is partitioned from the other one and the cloud terminates machines. */
private fun zoneCutAndKilledMachines(seed: Long, observer: WireObserver) {
    val scale =
        SiteScale(
            machinesPerZone = 6,
            heartbeatIntervalSeconds = 4.0,
            leaseSeconds = 22.0,
            cancelSeconds = 42.0,
            valueKb = 32.0,
            teamCpus = 180.0,
        )
    val site = SimSite(Simulation(seed), scale = scale, nodes = 5, wireObserver = observer)
    site.submitServices(5)
    site.submitVariedArrays(jobs = 16)
    site.submitPipelines(jobs = 8)
    site.run(25.0)
    SiteFault.ZONE_CUT.begin(site, 12.0)
    repeat(3) { number -> site.after(number * 8.0) { SiteFault.MACHINE_KILLED.begin(site, 0.0) } }
    site.run(40.0)
    site.recover(60.0)
}

private fun controllerFaults(seed: Long, observer: WireObserver) = faultyScenario(
    seed,
    observer,
    faults = listOf(
        SiteFault.LEADER_CRASH,
        SiteFault.LEADER_REFUSED,
        SiteFault.CONTROLLER_FROZEN,
        SiteFault.CONTROLLER_ISOLATED,
        SiteFault.ALL_CONTROLLERS_CRASH,
    ),
)

private fun stateFaults(seed: Long, observer: WireObserver) =
    faultyScenario(
        seed,
        observer,
        listOf(SiteFault.STATE_OUTAGE, SiteFault.LATE_WRITES, SiteFault.LEADER_REFUSED, SiteFault.MESSAGES_DELAYED),
    )

private fun networkFaults(seed: Long, observer: WireObserver) = faultyScenario(
    seed,
    observer,
    faults = listOf(
        SiteFault.PEERS_CUT,
        SiteFault.CONTROLLER_CUT_FROM_WORKERS,
        SiteFault.COMMANDS_LOST,
        SiteFault.MACHINE_REQUESTS_LOST,
        SiteFault.HEARTBEATS_HELD_BACK,
        SiteFault.LATE_HEARTBEAT_COPIES,
    ),
    nodes = 5,
)

private fun machineFaults(seed: Long, observer: WireObserver) = faultyScenario(
    seed,
    observer,
    faults = listOf(SiteFault.MACHINE_KILLED, SiteFault.MACHINES_HANG, SiteFault.MACHINE_REBOOTED, SiteFault.MACHINE_REQUESTS_LOST),
    prepare = { bootTimeFactor = ::bootFactorOf },
)

/** Injects all kinds of faults, two at a time, at three or five controllers. */
private fun mixedFaults(seed: Long, observer: WireObserver) =
    faultyScenario(seed, observer, SiteFault.entries, nodes = if (seed % 2 == 0L) 5 else 3, atOnce = 2)

/** Runs each shape of pipeline and cancels one of its jobs; the seed decides which job, and whether it waits or runs. */
private fun cancelledPipelines(seed: Long, observer: WireObserver) {
    for (shape in PipelineShape.entries) {
        val site = SimSite(Simulation(seed + shape.ordinal * SEED_STRIDE), endedBefore = 2, wireObserver = observer)
        shape.jobs.forEach { number ->
            val dependencies = shape.dependencies[number].orEmpty().map(::id) + JobId("job-${SimSite.FIRST_ENDED_JOB}")
            site.submit(SimSite.job(number, tasks = 2, estimatedSeconds = 8.0), dependencies) { 8.0 }
        }
        site.after(12.0 + site.sim.random.nextDouble() * 20) {
            site.cancel(
                shape.jobs
                    .shuffled(site.sim.random)
                    .first()
                    .let(::id),
            )
        }
        site.run(50.0)
        SiteFault.LEADER_CRASH.begin(site, 0.0)
        site.recover(60.0)
    }
}

/** Some jobs fail on every machine, and all tasks fail on one machine. The failing jobs are cancelled in the end. */
private fun failingJobs(seed: Long, observer: WireObserver) {
    val failing = (301..304).map(::id)
    val scale = SiteScale(machinesPerZone = 4, teamCpus = 400.0, guaranteedCpus = 200.0)
    val site = SimSite(Simulation(seed), scale = scale, wireObserver = observer)
    site.fails = { task, machine -> task.job in failing || machine == FAULTY_MACHINE }
    site.submitServices(2)
    site.submitArrays(8)
    failing.indices.forEach { number ->
        site.after(6.0 + number * 2.5) { site.submit(SimSite.job(301 + number, tasks = 6)) { 8.0 } }
    }
    site.run(60.0)
    failing.forEach(site::cancel)
    site.recover(60.0)
}

/** Services and a normal array preempt best-effort arrays that checkpoint first. One of these is cancelled meanwhile. */
private fun preemption(seed: Long, observer: WireObserver) {
    val scale = SiteScale(machinesPerZone = 2, teamCpus = 200.0, guaranteedCpus = 200.0)
    val site = SimSite(Simulation(seed), scale = scale, wireObserver = observer)
    repeat(2) { number ->
        val spec = SimSite.job(
            number + 1,
            tasks = 16,
            cpus = 4.0,
            estimatedSeconds = 120.0,
            checkpointSeconds = 4.0 + number * 8.0,
            priority = "best_effort",
        )
        site.submit(spec) { 120.0 }
    }
    site.run(45.0)
    site.submit(SimSite.job(3, tasks = 10, cpus = 4.0)) { 20.0 }
    site.submit(SimSite.job(4, tasks = 3, cpus = 8.0, service = true, spot = false)) { null }
    site.after(4.0 + site.sim.random.nextDouble() * 6) { site.cancel(id(2)) }
    site.run(60.0)
    site.recover(120.0)
}

/**
 * One machine is slow. The run times of short tasks reveal its speed; longer tasks on it are then worth a restart on another machine of
 * its shard.
 */
private fun stragglers(seed: Long, observer: WireObserver) {
    val scale = SiteScale(machinesPerZone = 8, teamCpus = 180.0, guaranteedCpus = 180.0)
    val operatorSettings = OperatorSettings(shardsPerZone = 1)
    val site = SimSite(Simulation(seed), operatorSettings, scale, slowMachine = SLOW_MACHINE, wireObserver = observer)
    repeat(12) { number ->
        val workSeconds = if (number < 8) 4.0 else 30.0
        site.after(number * 20.0) {
            site.submit(
                SimSite.job(number + 1, tasks = 50, zone = SimSite.ZONES[0], spot = false, estimatedSeconds = workSeconds),
            ) { workSeconds }
        }
    }
    site.run(280.0)
    site.recover(60.0)
}

/** Submits services, arrays and pipelines, and injects all of [faults] in random order, [atOnce] of them at a time. */
private fun faultyScenario(
    seed: Long,
    observer: WireObserver,
    faults: List<SiteFault>,
    nodes: Int = 3,
    atOnce: Int = 1,
    prepare: SimSite.() -> Unit = {},
) {
    val scale = SiteScale(machinesPerZone = 4, teamCpus = 180.0)
    val site = SimSite(Simulation(seed), scale = scale, nodes = nodes, wireObserver = observer)
    val random = site.sim.random
    site.prepare()
    site.submitServices(4)
    site.submitVariedArrays(jobs = 20)
    site.submitPipelines(jobs = 8)
    site.run(20.0)
    for (chosen in faults.shuffled(random).chunked(atOnce)) {
        chosen.forEach { it.begin(site, 2.0 + random.nextDouble() * 12.0) }
        site.after(random.nextDouble() * 8.0) { site.cancel(id(1 + random.nextInt(20))) }
        site.run(15.0)
    }
    site.network.duplicateOneIn = 0
    site.recover(90.0)
}

/** Submits arrays from `job-1` on with various sizes, placement constraints and run times. */
private fun SimSite.submitVariedArrays(jobs: Int) = repeat(jobs) { number ->
    after(number * 4.0) {
        val spec = SimSite.job(
            number + 1,
            tasks = 1 + sim.random.nextInt(8),
            cpus = if (number % 4 == 0) 6.0 else 2.0,
            oneZone = number % 6 == 1,
            spread = number % 6 == 2,
            spot = number % 5 != 0,
            image = 1 + number % 3,
            zone = SimSite.ZONES[number % 2].takeIf { number % 6 == 3 },
            estimatedSeconds = 12.0,
        )
        val workSecondsByTask = HashMap<Int, Double>()
        submit(spec) { workSecondsByTask.getOrPut(it) { 3.0 + sim.random.nextDouble() * 20 } }
    }
}

/** Submits jobs from `job-101` on that depend on one or two of `job-1` to `job-8`, and two out of three on their predecessor too. */
private fun SimSite.submitPipelines(jobs: Int) = repeat(jobs) { number ->
    after(number * 6.0 + 30.0) {
        val earlier = (1..8).shuffled(sim.random).take(1 + sim.random.nextInt(2)).map(::id)
        val previous = if (number % 3 > 0) listOf(id(100 + number)) else emptyList()
        submit(SimSite.job(101 + number, tasks = 1 + sim.random.nextInt(4)), earlier + previous) { 6.0 }
    }
}

/** Machine 2 never boots, and machine 3 takes five times as long as usual. */
private fun bootFactorOf(machine: Int): Double? = when (machine) {
    2 -> null
    3 -> 5.0
    else -> 1.0
}

private const val SEED_STRIDE = 1000
private const val FAULTY_MACHINE = "i-000002"
private const val SLOW_MACHINE = "i-000002"
