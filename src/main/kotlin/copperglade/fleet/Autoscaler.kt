package copperglade.fleet

import copperglade.membership.Leadership
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.storage.Replica
import copperglade.transport.EventLoop
import kotlin.math.max
import kotlin.time.Duration.Companion.milliseconds

/**
 * Scales the fleet while this controller is the leader: rents machines for the jobs' demand, replaces dead and overdue machines,
 * and chooses the machines that the shard owners should delete.
 */
class Autoscaler(
    private val loop: EventLoop,
    private val replica: Replica,
    private val leadership: Leadership,
    private val types: MachineTypeCatalog,
    private val cloud: CloudMachines,
    private val reports: MachineReports,
    private val settings: AutoscalerSettings,
) {
    private val liveness = MachineLiveness(types, reports)
    private val demandLevel = DemandLevel(settings.operatorSettings.scaleInHysteresisReplacementTimes)
    private val scaleOut = ScaleOut(cloud, types)
    private val scaleIn = ScaleIn(replica, types, settings)

    /** The machines that the shard owners should delete. */
    var machinesToRetire: List<MachineName> = emptyList()
        private set

    /** Starts scaling rounds, which run at regular intervals while this controller is the leader. Must be called once only. */
    fun start() = loop.scheduleRepeating({ ROUND_INTERVAL }) { if (leadership.leading && types.isLoaded) round() else reset() }

    /** Discards the state of a former leadership term, which is out of date. */
    private fun reset() {
        cloud.reset()
        machinesToRetire = emptyList()
        liveness.reset()
        demandLevel.reset()
    }

    private fun round() {
        val now = loop.now()
        cloud.refresh(now)
        val capacities = reports.capacities()
        liveness.recordReported(capacities.keys, now)
        val replacementSeconds = replacementSeconds()
        demandLevel.update(DemandEstimate.of(replica.jobs.values, settings.teams), replacementSeconds, now)
        if (!cloud.isListed) return
        cloud.deleteDead(now) { liveness.isDead(it, now) }
        if (mayLackRentedMachines()) return
        scale(now, capacities, replacementSeconds)
    }

    /**
     * Whether the cloud's list may still lack machines that a former leader has just rented. A cluster that has just started had no
     * former leader.
     */
    private fun mayLackRentedMachines(): Boolean =
        leadership.leadingForSeconds < cloud.rentalListingDelaySeconds && replica.knownRevision.number > LAST_REVISION_OF_NEW_CLUSTER

    /**
     * The time until a machine rented now can do the work of a machine deleted now: the boot and the fetch of an image of average
     * size, on the machine type that takes longest.
     */
    private fun replacementSeconds(): Double {
        val specs = replica.jobs.values.mapNotNull { it.spec }
        val imageGb = if (specs.isEmpty()) 0.0 else specs.sumOf { it.image.sizeGb } / specs.size
        val slowestSeconds = types.all.maxOfOrNull { it.bootSeconds + imageGb / max(it.fetchGbPerSecond, MIN_FETCH_GB_PER_SECOND) }
        return slowestSeconds?.coerceAtLeast(MIN_REPLACEMENT_SECONDS) ?: MIN_REPLACEMENT_SECONDS
    }

    private fun scale(now: MonotonicTime, capacities: Map<MachineName, MachineAvailability>, replacementSeconds: Double) {
        cloud.removeNeverListed(now)
        val inventory = inventory(now, capacities)
        val target = Demand(
            demandLevel.onDemandCpus * settings.operatorSettings.headroomFactor,
            demandLevel.spotCpus * settings.operatorSettings.headroomFactor,
        )
        val isShort = scaleOutFor(target, inventory, now)
        scaleOutForConstraints(capacities, inventory, now)
        machinesToRetire =
            if (isShort) {
                scaleIn.unusable(capacities.values)
            } else {
                scaleIn.choose(capacities.values, inventory, target, replacementSeconds)
            }
    }

    private fun inventory(now: MonotonicTime, capacities: Map<MachineName, MachineAvailability>): FleetInventory {
        val inventory = FleetInventory(types)
        for (machine in cloud.listed.values) {
            if (!isExpectedToWork(machine, now)) continue
            if (capacities[machine.name]?.worthKeeping == false && liveness.isReportRecent(machine.name, now)) continue
            inventory.add(kindOf(machine), 1)
        }
        for (kind in cloud.unlisted) inventory.add(kind, 1)
        for ((kind, count) in cloud.requested) inventory.add(kind, count)
        return inventory
    }

    private fun isExpectedToWork(machine: ListedMachine, now: MonotonicTime): Boolean =
        !cloud.isDeleted(machine.name) && !cloud.isOverdue(machine) && !liveness.isDead(machine, now)

    private fun kindOf(machine: ListedMachine) = MachineKind(machine.type, machine.zone, machine.spot)

    /**
     * Rents machines for the CPUs of [target] that [inventory] does not cover. Where too few spot machines are available, on-demand
     * machines are rented for the spot work as well.
     *
     * Returns whether on-demand CPUs are missing, or spot CPUs that no spot machines were requested for.
     */
    private fun scaleOutFor(target: Demand, inventory: FleetInventory, now: MonotonicTime): Boolean {
        var missingOnDemandCpus = target.onDemandCpus - inventory.onDemandCpus
        val spareOnDemandCpus = max(0.0, -missingOnDemandCpus)
        var missingSpotCpus = target.spotCpus - inventory.spotCpus - spareOnDemandCpus
        if (missingSpotCpus > 0) missingSpotCpus -= scaleOut.rent(missingSpotCpus, spot = true, inventory, now)
        if (missingSpotCpus > 0) missingOnDemandCpus = max(0.0, missingOnDemandCpus) + missingSpotCpus
        if (missingOnDemandCpus > 0) scaleOut.rent(missingOnDemandCpus, spot = false, inventory, now)
        return missingSpotCpus > 0 || missingOnDemandCpus > 0
    }

    /** Rents machines for work that only some machines can run, unless such machines are free or expected to come up. */
    private fun scaleOutForConstraints(capacities: Map<MachineName, MachineAvailability>, inventory: FleetInventory, now: MonotonicTime) {
        val fragmentation = FragmentationCheck(capacities.values, loop.wallMillis())
        val demand = ConstrainedDemand.of(replica.jobs.values, settings.teams, reports::zoneOf, fragmentation::isFragmented)
        for ((constraint, work) in demand) {
            val isAllowed = { kind: MachineKind -> constraint.allows(kind.type, kind.zone, kind.spot) }
            val expectedCpus = expectedMachines(capacities, now).filter(isAllowed).sumOf { types[it.type]?.capacity?.cpus ?: 0.0 }
            var missingCpus = work.cpus - expectedCpus - ConstrainedDemand.freeCpus(constraint, work, capacities.values)
            if (missingCpus > 0 && constraint.spotAllowed) {
                missingCpus -= scaleOut.rent(missingCpus, spot = true, inventory, now, isAllowed)
            }
            if (missingCpus > 0) scaleOut.rent(missingCpus, spot = false, inventory, now, isAllowed)
        }
    }

    /** The machines that are listed, rented or requested, but not yet reported by the shard owners. */
    private fun expectedMachines(capacities: Map<MachineName, MachineAvailability>, now: MonotonicTime): List<MachineKind> {
        val listed = cloud.listed.values.filter { it.name !in capacities && isExpectedToWork(it, now) }
        return listed.map(::kindOf) + cloud.unlisted + cloud.requested.flatMap { (kind, count) -> List(count) { kind } }
    }

    private companion object {
        const val MIN_FETCH_GB_PER_SECOND = 1e-3
        const val MIN_REPLACEMENT_SECONDS = 1.0
        const val LAST_REVISION_OF_NEW_CLUSTER = 200L
        val ROUND_INTERVAL = 500.milliseconds
    }
}
