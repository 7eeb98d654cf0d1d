package copperglade.sim

import copperglade.protocol.Endpoint
import copperglade.protocol.MemberId
import copperglade.protocol.TaskId
import copperglade.standin.CloudType
import copperglade.standin.StandInCloud
import copperglade.standin.StandInWorker
import copperglade.standin.WorkerHost
import copperglade.standin.WorkerSite
import copperglade.standin.World
import copperglade.standin.workerOf

/**
 * The cloud of a simulated site, its machines and their workers.
 *
 * @param slowMachine the name of a machine that runs tasks at [SLOW_MACHINE_SPEED] times the usual speed; null: none does.
 * @param nodes the number of controllers that workers may report to.
 */
class SimMachines(
    private val sim: Simulation,
    private val network: SimNetwork,
    loop: SimLoop,
    private val scale: SiteScale,
    private val world: World,
    private val slowMachine: String?,
    private val nodes: Int,
) {
    private val workersByName = LinkedHashMap<String, StandInWorker>()
    private val machines = ArrayList<StandInCloud.Machine>()
    val cloud = StandInCloud(
        loop,
        listOf(CloudType("box", 16.0, 128.0, 6.0, scale.machinesPerZone)),
        SimSite.ZONES,
        ::boot,
        scale.cloudRequestsPerSecond,
        { workersByName.remove(it.name)?.die() },
    )

    /** The workers of the machines that are up, in the order in which these booted. */
    val workers: Collection<StandInWorker> get() = workersByName.values
    val workerNames: Collection<String> get() = workersByName.keys

    /** The number of expired leases, each of which made its worker begin an epoch, plus the number of terminated machines. */
    val leasesOrMachinesLost: Long get() = workers.sumOf { it.epoch - 1 } + machines.count { it.gone }

    fun worker(name: String): StandInWorker = workersByName.getValue(name)

    /** Returns the tasks that are checkpointing, each with its worker. */
    fun checkpointingTasks(): Map<TaskId, StandInWorker> =
        workers.flatMap { worker -> worker.saving().map { it to worker } }.toMap()

    /** Makes the cloud terminate the machine at [index] among those that are up, if there is one. */
    fun kill(index: Int) {
        machines.filter { !it.gone && it.up }.getOrNull(index)?.let(cloud::take)
    }

    /** Makes the cloud terminate the machine [name], unless it is terminated already. */
    fun kill(name: String) {
        machines.firstOrNull { it.name == name && !it.gone }?.let(cloud::take)
    }

    /** Cuts the power of the machine at [index]. The machine boots again within 0.7 s, and its worker's sequence numbers restart. */
    fun reboot(index: Int) {
        val name = workerNames.elementAtOrNull(index) ?: return
        reboot(name, 100.0 + sim.random.nextInt(600))
    }

    /** Cuts the power of the machine [name]. The machine boots again after [offMillis], and its worker's sequence numbers restart. */
    fun reboot(name: String, offMillis: Double) {
        val machine = machines.first { it.name == name }
        workersByName.remove(name)?.die()
        sim.after(offMillis) { if (!machine.gone) boot(machine) }
    }

    private fun boot(machine: StandInCloud.Machine) {
        if (machine !in machines) machines += machine
        val endpoint = Endpoint(machine.address.substringBefore(':'), 9000)
        val loop = SimLoop(sim, drift = sim.random.nextDouble() * MAX_CLOCK_DRIFT)
        val controllers = (0 until nodes).map { MemberId(SimAddresses.controllerName(it)) to SimAddresses.client(it) }
        val host = WorkerHost(loop, network.callerOf(machine.name, loop), world)
        val site = WorkerSite(scale.heartbeatIntervalSeconds, scale.leaseSeconds, controllers)
        val speed = if (machine.name == slowMachine) SLOW_MACHINE_SPEED else 1.0
        val worker = workerOf(machine, host, site, endpoint, fetchGbPerSecond = 1.0, speed = speed)
        workersByName[machine.name] = worker
        network.listen(endpoint, machine.name, loop, worker)
        worker.start()
    }

    private companion object {
        const val SLOW_MACHINE_SPEED = 0.25
        const val MAX_CLOCK_DRIFT = 0.0005
    }
}
