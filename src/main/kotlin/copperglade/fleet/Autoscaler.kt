package copperglade.fleet

import copperglade.membership.Leadership
import copperglade.membership.Membership
import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.Json
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MachineStatus
import copperglade.protocol.MachineType
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerStatus
import copperglade.protocol.ShardName
import copperglade.protocol.TeamName
import copperglade.protocol.secondsSince
import copperglade.settings.OperatorSettings
import copperglade.settings.Team
import copperglade.shards.ShardMap
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The leader's dealings with the cloud: rents what demand asks for, and has what is idle returned. */
class Autoscaler(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val cloud: Endpoint,
    private val budget: TokenBucket,
    private val replica: Replica,
    private val leadership: Leadership,
    private val membership: Membership,
    private val types: MachineTypeCatalog,
    private val teams: Map<TeamName, Team>,
    private val shardMap: ShardMap,
    private val operatorSettings: OperatorSettings,
    private val listLagSeconds: Double,
    private val statusOf: (MemberId) -> PeerStatus?,
) {
    private data class Kind(val type: String, val zone: String, val spot: Boolean)

    private class RentedMachine(val kind: Kind, val at: MonotonicTime)

    private val listing = MachineListing(loop, http, cloud, budget, ::listRead)
    private val listed: Map<MachineName, ListedMachine> get() = listing.machines
    private val bootTimes = BootTimes()
    private val rentedMachines = HashMap<MachineName, RentedMachine>()
    private val pending = HashMap<Kind, Int>()
    private val refusedUntil = HashMap<Kind, MonotonicTime>()
    private val heardAt = HashMap<MachineName, MonotonicTime>()
    private val deletedAt = HashMap<MachineName, MonotonicTime>()
    private var rentals = 0
    private var ordinaryLevel = 0.0
    private var flexibleLevel = 0.0
    private var levelAt = MonotonicTime.NEVER
    private var replacementS = 1.0

    /** Idle machines that their owners should return. */
    var retire: List<MachineName> = emptyList()
        private set

    fun start() = loop.scheduleRepeating({ INTERVAL }) { if (leadership.leading && types.isLoaded) round() else forget() }

    /** What a former leadership term left is out of date. */
    private fun forget() {
        listing.forget()
        rentedMachines.clear()
        retire = emptyList()
        heardAt.clear()
        levelAt = MonotonicTime.NEVER
    }

    private fun round() {
        val now = loop.now()
        listing.refresh(now)
        val capacities = capacities()
        capacities.keys.forEach { heardAt[it] = now }
        replacementS = replacementS()
        updateLevels(now)
        if (listing.readAt == MonotonicTime.NEVER) return
        clearOut(now)
        // A new leader's list may lack what its predecessor has just rented.
        if (leadership.leadingForSeconds < 2 * listLagSeconds && replica.knownRevision.number > FIRST_REVISIONS) return
        adjust(now, capacities)
    }

    private fun capacities(): Map<MachineName, MachineAvailability> {
        val capacities = HashMap<MachineName, MachineAvailability>()
        for (record in replica.shards.values) {
            val status = statusOf(record.value.member) ?: continue
            for (shard in status.shards) shard.machines.forEach { capacities[it.name] = it }
        }
        return capacities
    }

    private fun listRead() {
        listed.keys.forEach(rentedMachines::remove)
        bootTimes.observe(listed)
    }

    /** Demand comes in bursts; the level follows it up at once and down slowly. */
    private fun updateLevels(now: MonotonicTime) {
        val demand = DemandEstimate.of(replica.jobs.values, teams)
        val fade = if (levelAt ==
            MonotonicTime.NEVER
        ) {
            0.0
        } else {
            exp(-now.secondsSince(levelAt) / (replacementS * operatorSettings.scaleInHysteresisReplacements))
        }
        ordinaryLevel = max(demand.ordinary, ordinaryLevel * fade)
        flexibleLevel = max(demand.flexible, flexibleLevel * fade)
        levelAt = now
    }

    /**
     * How long it takes until a machine just rented does the work of one just returned: its boot, and the fetch of an
     * image. What is dear to replace is kept for longer.
     */
    private fun replacementS(): Double {
        val specs = replica.jobs.values.mapNotNull { it.spec }
        val imageGb = if (specs.isEmpty()) 0.0 else specs.sumOf { it.image.sizeGb } / specs.size
        return types.all.maxOfOrNull { it.bootSeconds + imageGb / max(it.fetchGbPerSecond, SLOWEST_FETCH) }?.coerceAtLeast(1.0) ?: 1.0
    }

    private fun isDead(machine: ListedMachine, now: MonotonicTime): Boolean {
        val bootSeconds = types[machine.type]?.bootSeconds ?: 0.0
        return when (machine.status) {
            MachineStatus.FAILED -> true
            MachineStatus.BOOTING -> machine.ageSeconds > bootSeconds * MAX_BOOTS + BOOT_SLACK_S
            MachineStatus.RUNNING -> {
                val shard: ShardName = shardMap.of(machine.name, machine.zone)
                val ownerHeard = replica.shards[shard]
                    ?.let { statusOf(it.value.member) }
                    ?.shards
                    ?.any { it.shard == shard } ?: false
                val heard = heardAt.getOrPut(machine.name) { now }
                if (!ownerHeard) heardAt[machine.name] = now
                machine.ageSeconds > bootSeconds && now.secondsSince(heard) > UNREACHABLE_S
            }
        }
    }

    /** Whether [machine] has been booting for so long that another had better be rented in its place. */
    private fun isOverdue(machine: ListedMachine): Boolean {
        val type = types[machine.type] ?: return false
        return machine.status == MachineStatus.BOOTING && machine.ageSeconds > bootTimes.overdueAfterS(type)
    }

    /** Deleting is always safe: whatever was on the machine is gone with it, and its owner waits for the lease. */
    private fun clearOut(now: MonotonicTime) {
        deletedAt.values.removeIf { now >= it + AGAIN }
        val dead = listed.values
            .filter { it.name !in deletedAt && isDead(it, now) }
            .map { it.name }
            .take(CloudApiCodec.MAX_MACHINES_PER_DELETION)
        if (dead.isEmpty() || !budget.tryTake(1, now)) return
        dead.forEach { deletedAt[it] = now }
        log.info("deleting dead machines {}", dead)
        http.call(cloud, Request(Method.POST, "/machines/delete", CloudApiCodec.encodeDeletion(dead)), DELETE_TIMEOUT) { reply ->
            if (reply?.status != HttpStatus.OK) dead.forEach(deletedAt::remove)
        }
    }

    private class Inventory(var ordinary: Double, var spot: Double)

    private fun adjust(now: MonotonicTime, capacities: Map<MachineName, MachineAvailability>) {
        rentedMachines.values.removeIf { now >= it.at + (listLagSeconds * LAGS_TO_BE_LISTED + 1).seconds + listing.interval }
        val counts = HashMap<Kind, Int>()
        val inventory = Inventory(0.0, 0.0)
        for (machine in listed.values) {
            val kind = Kind(machine.type, machine.zone, machine.spot)
            if (machine.name in deletedAt || isOverdue(machine) || isDead(machine, now)) continue
            if (capacities[machine.name]?.worthKeeping == false && now.secondsSince(heardAt[machine.name] ?: now) < UNREACHABLE_S) continue
            count(kind, 1, counts, inventory)
        }
        for (machine in rentedMachines.values) count(machine.kind, 1, counts, inventory)
        for ((kind, number) in pending) count(kind, number, counts, inventory)

        val ordinaryTarget = ordinaryLevel * operatorSettings.headroom
        val flexibleTarget = flexibleLevel * operatorSettings.headroom
        var ordinaryMissing = ordinaryTarget - inventory.ordinary
        val spare = max(0.0, -ordinaryMissing)
        var flexibleMissing = flexibleTarget - inventory.spot - spare
        if (flexibleMissing > 0) flexibleMissing -= rent(flexibleMissing, spot = true, counts, now)
        if (flexibleMissing > 0) ordinaryMissing = max(0.0, ordinaryMissing) + flexibleMissing
        if (ordinaryMissing > 0) rent(ordinaryMissing, spot = false, counts, now)
        rentBound(capacities, counts, now)
        retire =
            if (flexibleMissing > 0 ||
                ordinaryMissing > 0
            ) {
                unusable(capacities)
            } else {
                idle(capacities, inventory, ordinaryTarget, flexibleTarget)
            }
    }

    private fun count(kind: Kind, number: Int, counts: HashMap<Kind, Int>, inventory: Inventory) {
        counts.merge(kind, number, Int::plus)
        val cpus = (types[kind.type]?.capacity?.cpus ?: 0.0) * number
        if (kind.spot) inventory.spot += cpus else inventory.ordinary += cpus
    }

    /** What waits for room that only some machines can give is rented for beside the rest, unless such machines are on their way. */
    private fun rentBound(capacities: Map<MachineName, MachineAvailability>, counts: HashMap<Kind, Int>, now: MonotonicTime) {
        val demand = ConstrainedDemand.of(
            replica.jobs.values,
            teams,
            zoneOf = { job -> job.assignments().firstOrNull()?.let { shardMap.zoneOf(it.shard) } },
            fragmented = { isFragmented(it, capacities.values) },
        )
        for ((binding, work) in demand) {
            val allowed = { kind: Kind -> binding.allows(kind.type, kind.zone, kind.spot) }
            val coming = listed.values
                .filter { it.name !in capacities && it.name !in deletedAt && !isOverdue(it) && !isDead(it, now) }
                .map { Kind(it.type, it.zone, it.spot) } + rentedMachines.values.map { it.kind } +
                pending.flatMap { (kind, number) -> List(number) { kind } }
            val comingCpus = coming.filter(allowed).sumOf { types[it.type]?.capacity?.cpus ?: 0.0 }
            var missing = work.cpus - comingCpus - ConstrainedDemand.freeCapacity(binding, work, capacities.values)
            if (missing > 0 && binding.spotAllowed) missing -= rent(missing, spot = true, counts, now, allowed)
            if (missing > 0) rent(missing, spot = false, counts, now, allowed)
        }
    }

    /** Whether a task of [job] has found no machine for a while, though there is as much room on all of them together. */
    private fun isFragmented(job: Job, capacities: Collection<MachineAvailability>): Boolean {
        val spec = job.spec ?: return false
        if (loop.wallMillis() < job.startableSinceMillis + FRAGMENTED_AFTER_MS) return false
        val allowed = capacities.filter { it.usable && spec.allows(it.type, it.zone, it.spot) }
        return allowed.none { spec.request.fitsIn(it.free) } && allowed.sumOf { it.free.cpus } >= spec.request.cpus
    }

    /** Rents about [cpus]; returns how many were asked for. */
    private fun rent(
        cpus: Double,
        spot: Boolean,
        counts: HashMap<Kind, Int>,
        now: MonotonicTime,
        allowed: (Kind) -> Boolean = { true },
    ): Double {
        var missing = cpus
        val kinds = types.all
            .flatMap { type -> type.zones.map { Kind(type.name, it, spot) to type } }
            .filter { (kind, _) -> allowed(kind) && kind !in pending && now >= (refusedUntil[kind] ?: MonotonicTime.NEVER) }
            .sortedWith(compareBy({ pricePerCpu(it.second, spot) }, { counts[it.first] ?: 0 }))
        var asked = 0.0
        for ((kind, type) in kinds) {
            if (missing <= 0) break
            val share = kinds.count { it.second === type }
            val number = ceil(missing / type.capacity.cpus / share).toInt().coerceIn(1, CloudApiCodec.MAX_MACHINES_PER_RENTAL)
            if (!budget.tryTake(1, now)) break
            requestMachines(kind, number)
            missing -= number * type.capacity.cpus
            asked += number * type.capacity.cpus
        }
        return asked
    }

    private fun pricePerCpu(type: MachineType, spot: Boolean) = (if (spot) type.spotPrice else type.price) / type.capacity.cpus

    private fun requestMachines(kind: Kind, number: Int) {
        val incarnation = membership.incarnation ?: return
        // The incarnation is never given twice, so no other life and no other controller uses this name.
        val name = "r-$incarnation-${++rentals}"
        pending[kind] = number
        ask(name, kind, number, TRIES)
    }

    private fun ask(name: String, kind: Kind, number: Int, tries: Int) {
        val body = CloudApiCodec.encodeRental(name, kind.type, kind.zone, kind.spot, number)
        http.call(cloud, Request(Method.POST, "/machines", body), RENT_TIMEOUT) { reply ->
            val rented = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeRental(Json.read(it.body)) }
            when {
                rented != null -> {
                    log.info("rented {} of {} {}", rented.size, number, kind)
                    rented.forEach { rentedMachines[it] = RentedMachine(kind, loop.now()) }
                    pending -= kind
                    if (rented.size < number) refusedUntil[kind] = loop.now() + REFUSED
                }
                // The same name again: if the first request was carried out after all, nothing more is rented.
                (reply == null || reply.status == HttpStatus.TOO_MANY_REQUESTS) && tries > 0 ->
                    loop.after(RETRY) { ask(name, kind, number, tries - 1) }
                else -> {
                    log.info("no {} to be had: {}", kind, reply?.status)
                    pending -= kind
                    refusedUntil[kind] = loop.now() + REFUSED
                }
            }
        }
    }

    private fun unusable(capacities: Map<MachineName, MachineAvailability>): List<MachineName> {
        val idle = capacities.values.filter { !it.worthKeeping && it.idleMillis > UNUSABLE_IDLE_MS }
        return idle.map { it.name }
    }

    private fun idle(
        capacities: Map<MachineName, MachineAvailability>,
        inventory: Inventory,
        ordinaryTarget: Double,
        flexibleTarget: Double,
    ): List<MachineName> {
        val chosen = ArrayList<MachineName>()
        chosen += unusable(capacities)
        val longEnoughMs = replacementS * operatorSettings.idleReplacements * MS
        val candidates = capacities.values
            .filter { it.usable && it.idleMillis >= longEnoughMs }
            .sortedWith(compareBy({ it.spot }, { it.name.text }))
        // Room that waiting tasks could have right now is not idle, however long it takes to assign them: in a burst on a
        // grown day 200 machines were returned with 60 jobs waiting, and rented again half a minute later.
        var free = capacities.values.filter { it.usable }.sumOf { it.free.cpus } - DemandEstimate.backlogCpus(replica.jobs.values, teams)
        for (freeCapacity in candidates) {
            val cpus = types[freeCapacity.type]?.capacity?.cpus ?: continue
            if (free < cpus) break
            val ordinary = inventory.ordinary - if (freeCapacity.spot) 0.0 else cpus
            val spot = inventory.spot - if (freeCapacity.spot) cpus else 0.0
            val spare = ordinary - ordinaryTarget
            val enough = spare >= 0.0 && spot + spare >= flexibleTarget
            if (!enough) continue
            free -= cpus
            inventory.ordinary = ordinary
            inventory.spot = spot
            chosen += freeCapacity.name
        }
        return chosen
    }

    private companion object {
        const val SLOWEST_FETCH = 1e-3
        const val MS = 1000
        const val MAX_BOOTS = 3.0
        const val BOOT_SLACK_S = 20.0
        const val UNREACHABLE_S = 40.0
        const val FRAGMENTED_AFTER_MS = 20_000L
        const val UNUSABLE_IDLE_MS = 3000L
        const val LAGS_TO_BE_LISTED = 2.0
        const val FIRST_REVISIONS = 200L
        const val TRIES = 10
        val INTERVAL = 500.milliseconds
        val DELETE_TIMEOUT = 5.seconds
        val RENT_TIMEOUT = 3.seconds
        val RETRY = 1.seconds
        val REFUSED = 12.seconds
        val AGAIN = 15.seconds
        val log = LoggerFactory.getLogger("fleet")
    }
}
