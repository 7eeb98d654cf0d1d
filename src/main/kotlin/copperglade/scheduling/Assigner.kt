package copperglade.scheduling

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.Leadership
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerStatus
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.protocol.ShardName
import copperglade.protocol.TeamName
import copperglade.settings.ServiceLevelObjectives
import copperglade.settings.Team
import copperglade.storage.Assignment
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the leader counts of a team while it decides. */
private class TeamUse(val team: Team) {
    var used = Resources.ZERO

    /** Requests of the team's unfinished jobs so far, in order of acceptance, for what its guarantee covers. */
    var claimed = Resources.ZERO
}

/**
 * The leader's rounds: gives waiting tasks to shards that have room, within the teams' limits, and writes that down
 * before any owner may start them. All that is assigned counts against its team's limit until its record says that it
 * is surely gone.
 */
class Assigner(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val capacityTable: CapacityTable,
    private val types: MachineTypeCatalog,
    private val teams: Map<TeamName, Team>,
    private val objectives: ServiceLevelObjectives,
    private val fairShare: FairShare,
    private val statusOf: (MemberId) -> PeerStatus?,
) {
    private val writer = AssignmentWriter(loop, store, replica, leadership, capacityTable)
    private val guaranteePreemption = GuaranteePreemption(teams)
    private var guaranteesCheckedAt = MonotonicTime.NEVER

    private var nextFullRoundAt = MonotonicTime.NEVER
    private var nextUrgentRoundAt = MonotonicTime.NEVER

    /** A job's standing assignments at the beginning of a round. */
    private class Candidate(val job: Job, val spec: JobSpec, val assigned: List<Assignment>, val guaranteed: Boolean) {
        val acceptedAtMs = job.live!!.value.acceptedAtMs
        val deadline = job.deadline
        val left get() = job.wantedTasks
        val urgent get() = spec.priority <= Priority.HIGH
    }

    fun round() {
        writer.beginRound()
        val now = loop.now()
        val isFullRound = now >= nextFullRoundAt
        if (!isFullRound && (now < nextUrgentRoundAt || replica.jobs.values.none(::urgentlyWaits))) return
        val uses = teams.mapValues { TeamUse(it.value) }
        val all = gather(uses)
        val waiting = all.filter { waits(it) && (isFullRound || it.urgent) }
        if (waiting.isEmpty()) return
        // The scarcer the budget, the longer is gathered, and the more is decided at a time. Also what is urgent: a write
        // for each new service took the whole budget of a grown day's burst, and for 90 s no array was assigned.
        nextUrgentRoundAt = now + URGENT_BATCH_WINDOW * (1.0 - store.writeBudgetLevel())
        if (isFullRound) nextFullRoundAt = now + MIN_BATCH_WINDOW + MAX_BATCH_WINDOW * (1.0 - store.writeBudgetLevel())
        val capacities = RoundCapacity(capacityTable.capacities(statusOf).filter { it.machine.usable })
        if (capacities.all.isEmpty()) return
        val plan = AssignmentPlan()
        val poolCpus = capacities.all
            .sumOf { machineCapacity ->
                machineCapacity.machine.free.cpus +
                    machineCapacity.machine.preemptible.sumOf { it.cpus }
            }.coerceAtLeast(1.0)
        val (urgent, others) = order(waiting, poolCpus).partition { it.urgent }
        val fairShares = fairShare.of(others.map(::waitingJob), poolCpus)
        val first = fairShares.mapTo(HashSet()) { it.first }
        val inOrder = urgent.map { it to MAX_TASKS } + fairShares + others.filter { it !in first }.map { it to MAX_TASKS }
        for ((candidate, most) in inOrder) {
            val use = uses[candidate.spec.team] ?: continue
            assign(candidate, use, capacities, plan, minOf(most, candidate.left - candidate.assigned.size))
        }
        if (isFullRound && now >= guaranteesCheckedAt + GUARANTEE_PREEMPTION_INTERVAL) {
            guaranteesCheckedAt = now
            preemptForGuarantees(all, uses, plan)
        }
        writer.write(plan)
    }

    /** What other teams have borrowed is stopped where a guarantee has been waiting for room. */
    private fun preemptForGuarantees(all: List<Candidate>, uses: Map<TeamName, TeamUse>, plan: AssignmentPlan) {
        val chosen = plan.choices.keys.mapTo(HashSet()) { it.job }
        val claims = all
            .filter { it.guaranteed && waits(it) && it.job.id !in chosen && it.waitedS >= GUARANTEE_PREEMPTION_AFTER_S }
            .map { GuaranteeClaim(it.spec.team, it.spec.request, it.left - it.assigned.size) }
        if (claims.isEmpty()) return
        val borrowedQuotas = all
            .filter { !it.guaranteed && it.spec.kind == JobKind.ARRAY && !writer.pends(it.job.id) && it.job.id !in chosen }
            .map { BorrowedQuota(it.job, it.spec, it.assigned) }
        val used = uses.mapValues { it.value.used.cpus }
        for ((job, tasks) in guaranteePreemption.choose(claims, borrowedQuotas, used)) {
            tasks.groupBy { it.task / Keys.TASKS_PER_RANGE }.forEach { (page, its) ->
                if (writer.ready(job, page)) {
                    plan.guaranteePreemptions[TaskRange(job.id, page)] = BitSet().apply { its.forEach { set(it.task) } }
                }
            }
            log.info("{} tasks of {} are recalled for a guarantee", tasks.size, job.id)
        }
    }

    private fun waitingJob(candidate: Candidate): WaitingJob<Candidate> {
        val cpus = candidate.spec.request.cpus
            .coerceAtLeast(SMALLEST_CPUS)
        val begun = candidate.assigned.isNotEmpty() || !candidate.job.done.isEmpty
        return WaitingJob(candidate, candidate.waitedS, cpus, candidate.assigned.size * cpus, begun, mayBeInTime(candidate))
    }

    private val Candidate.waitedS get() = (loop.wallMillis() - job.startableSinceMs) / MS

    private fun urgentlyWaits(job: Job): Boolean {
        val spec = job.spec ?: return false
        if (spec.priority > Priority.HIGH || job.cancelled || job.blocked || writer.pends(job.id)) return false
        return job.assignments().size < job.wantedTasks
    }

    private fun waits(candidate: Candidate): Boolean {
        val job = candidate.job
        return !writer.pends(job.id) && !job.cancelled && !job.complete && candidate.assigned.size < job.wantedTasks
    }

    private fun order(waiting: List<Candidate>, poolCpus: Double): List<Candidate> {
        val (dated, undated) = waiting.partition { it.deadline != null }
        val teamCpus = { team: TeamName -> teams[team]?.cpusMax?.takeIf { it > 0.0 } ?: poolCpus }
        val planned = DeadlinePlan(poolCpus, teamCpus).order(dated.map { plannedJob(it) })
        val rank = HashMap<JobId, Int>()
        planned.forEachIndexed { index, candidate -> rank[candidate.job.id] = index }
        return (undated + planned).sortedWith(
            compareBy<Candidate> { it.spec.priority }
                // What is too late for its guarantee anyway goes by the plan: a team's late jobs, being its oldest, would
                // otherwise have its guarantee to themselves, and make the next ones late as well.
                .thenBy { if (it.guaranteed && it.waitedS <= objectives.guaranteeWithinSeconds) 0 else 1 }
                .thenBy { rank[it.job.id] ?: -1 }
                .thenBy { it.acceptedAtMs },
        )
    }

    private fun plannedJob(candidate: Candidate): PlannedJob<Candidate> {
        val spec = candidate.spec
        val waitedS = candidate.waitedS
        val due = dueTimesS(candidate).filter { isFeasible(spec, it) }
        // What is late for every multiple of its deadline still has an aim to meet, after all that can be in time.
        val latest = objectives.latestEndSeconds(spec.load, spec.estimatedSeconds)?.let { it - waitedS }?.takeIf { isFeasible(spec, it) }
        val dues = if (latest == null) due else due.filter { it < latest } + latest
        return PlannedJob(candidate, candidate.left * spec.request.cpus * spec.estimatedSeconds, dues, waitedS, spec.team)
    }

    /** Even with all room of the world, the last task still needs its own run time. */
    private fun isFeasible(spec: JobSpec, dueInS: Double) = dueInS > spec.estimatedSeconds * FEASIBILITY_FACTOR

    private fun mayBeInTime(candidate: Candidate): Boolean {
        val spec = candidate.spec
        return isFeasible(spec, dueTimesS(candidate).lastOrNull() ?: -candidate.waitedS)
    }

    /** In how many seconds the job is due, at each multiple of its deadline that counts for the job it was set for. */
    private fun dueTimesS(candidate: Candidate): List<Double> {
        val deadline = candidate.deadline ?: return emptyList()
        val now = loop.wallMillis()
        return (objectives.deadlineMultiples[deadline.load] ?: ONCE).map { deadline.dueInS(it, now) }
    }

    private fun gather(uses: Map<TeamName, TeamUse>): List<Candidate> {
        val candidates = ArrayList<Candidate>()
        val inOrder = replica.jobs.values
            .filter { it.live != null }
            .sortedBy { it.live!!.value.acceptedAtMs }
        for (job in inOrder) {
            val spec = job.spec ?: continue
            if (job.blocked) continue
            val assigned = job.assignments()
            val use = uses[spec.team] ?: continue
            use.used += spec.request * (assigned.size + writer.pendingTasks(job.id))
            var guaranteed = false
            if (!job.complete && !job.cancelled) {
                use.claimed += spec.request * job.wantedTasks
                guaranteed = !job.failing && use.team.guarantees(use.claimed.cpus, use.claimed.gpus)
            }
            candidates += Candidate(job, spec, assigned, guaranteed)
        }
        return candidates
    }

    private fun assign(candidate: Candidate, use: TeamUse, capacities: RoundCapacity, plan: AssignmentPlan, most: Int) {
        val spec = candidate.spec
        val first = use.used + spec.request
        if (!use.team.allows(first.cpus, first.gpus)) return
        val taken = candidate.job.done.clone() as BitSet
        candidate.assigned.forEach { taken.set(it.task) }
        val zones = ZoneCount(spec, candidate.assigned.map { zoneOf(it.shard) })
        if (capacities.surelyFullFor(spec)) return reserveMachine(spec, zones, capacities)
        val places = places(candidate, zones, capacities).iterator()
        val choices = ArrayList<PlacementChoice>()
        var place = if (places.hasNext()) places.next() else null
        var task = taken.nextClearBit(0)
        while (task < spec.tasks && choices.size < most) {
            val after = use.used + spec.request
            if (!use.team.allows(after.cpus, after.gpus)) break
            // Nothing makes room in a round: a place that is full, or in a zone that is, stays so.
            while (place != null && !(place.holds(spec) && zones.allows(place.machineCapacity.machine.zone))) {
                place = if (places.hasNext()) places.next() else null
            }
            if (place == null) {
                capacities.fullFor(spec)
                reserveMachine(spec, zones, capacities)
                break
            }
            place.take(spec)
            zones.add(place.machineCapacity.machine.zone)
            use.used = after
            choices += PlacementChoice(task, place.machineCapacity)
            task = taken.nextClearBit(task + 1)
        }
        for ((page, chosen) in choices.groupBy { it.task / Keys.TASKS_PER_RANGE }) {
            if (writer.ready(candidate.job, page)) plan.choices[TaskRange(candidate.job.id, page)] = chosen
        }
    }

    /**
     * The capacity that a round may assign, and which tasks have found none any more: in an overload, hundreds of jobs
     * ask for the same.
     */
    private class RoundCapacity(val all: List<CapacityTable.MachineCapacity>) {
        val shards: List<ShardName> = all.mapTo(LinkedHashSet()) { it.shard }.toList()
        private val unplaced = ArrayList<JobSpec>()

        /** No place is left for a task of [spec]; nothing makes room in a round. */
        fun fullFor(spec: JobSpec) {
            if (!spec.oneZone && !spec.spread && unplaced.size < MAX_UNPLACED) unplaced += spec
        }

        /** Whether a task that asks for no more, and may go wherever this one may, has found no place. */
        fun surelyFullFor(spec: JobSpec): Boolean = unplaced.any {
            it.request.fitsIn(spec.request) && it.priority <= spec.priority && (it.spotAllowed || !spec.spotAllowed) &&
                (it.types == null || it.types == spec.types) && (it.zone == null || it.zone == spec.zone)
        }
    }

    /** What `oneZone` and `spread` leave open, given the job's other tasks. */
    private class ZoneCount(private val spec: JobSpec, assigned: List<String>) {
        private val counts = HashMap<String, Int>()

        init {
            assigned.forEach(::add)
        }

        fun add(zone: String) {
            counts.merge(zone, 1, Int::plus)
        }

        fun allows(zone: String): Boolean =
            (!spec.oneZone || counts.keys.all { it == zone }) && (counts[zone] ?: 0) < spec.perZoneLimit
    }

    /** A machine with room for tasks of a job, as it is or by stopping lower work, and what a task costs there. */
    private class Place(val machineCapacity: CapacityTable.MachineCapacity, val preempts: Boolean, val cost: Double) {
        fun holds(spec: JobSpec): Boolean = !machineCapacity.kept &&
            if (preempts) machineCapacity.fitsWithPreemption(spec) else spec.request.fitsIn(machineCapacity.free)

        fun take(spec: JobSpec) = machineCapacity.take(spec)
    }

    private fun zoneOf(shard: ShardName) = shard.text.substringBeforeLast('.')

    /** Lets the machine that comes closest to holding the task gather room for it. */
    private fun reserveMachine(spec: JobSpec, zones: ZoneCount, capacities: RoundCapacity) {
        var largest: CapacityTable.MachineCapacity? = null
        for (machineCapacity in capacities.all) {
            if (machineCapacity.kept || (largest != null && machineCapacity.free.cpus <= largest.free.cpus)) continue
            val machine = machineCapacity.machine
            if (spec.allows(machine.type, machine.zone, machine.spot) && zones.allows(machine.zone)) largest = machineCapacity
        }
        largest?.kept = true
    }

    /** The places for a job's tasks, cheapest first, then fullest: weighed once a job, not once a task. */
    private fun places(candidate: Candidate, zones: ZoneCount, capacities: RoundCapacity): List<Place> {
        val spec = candidate.spec
        val shards = shardsFor(candidate, capacities)
        val places = ArrayList<Place>()
        for (machineCapacity in capacities.all) {
            if (machineCapacity.kept) continue
            val fits = spec.request.fitsIn(machineCapacity.free)
            val preempts = !candidate.job.failing && machineCapacity.fitsWithPreemption(spec)
            if (!fits && !preempts) continue
            val machine = machineCapacity.machine
            if (!spec.allows(machine.type, machine.zone, machine.spot) || !zones.allows(machine.zone)) continue
            val further = if (machineCapacity.shard in shards) 0.0 else FURTHER_SHARD_S
            if (fits) places += Place(machineCapacity, preempts = false, cost(spec, machineCapacity, preempts = false) + further)
            if (preempts) places += Place(machineCapacity, preempts = true, cost(spec, machineCapacity, preempts = true) + further)
        }
        places.sortWith(BY_COST)
        return places
    }

    /** Where a job's tasks had better be: few shards have few records of it to write. */
    private fun shardsFor(candidate: Candidate, capacities: RoundCapacity): Set<ShardName> {
        if (candidate.assigned.isNotEmpty()) return candidate.assigned.mapTo(HashSet()) { it.shard }
        val all = capacities.shards
        val first = Math.floorMod(candidate.job.id.hashCode(), all.size)
        return (0 until FIRST_SHARDS).mapTo(HashSet()) { all[(first + it) % all.size] }
    }

    private fun cost(spec: JobSpec, machineCapacity: CapacityTable.MachineCapacity, preempts: Boolean): Double {
        val machine = machineCapacity.machine
        return PlacementCost.of(spec, types[machine.type], machine.spot, spec.image.name in machine.images, preempts)
    }

    private companion object {
        val ONCE = listOf(1.0)
        const val MAX_TASKS = 2000
        const val MAX_UNPLACED = 16
        const val MS = 1000.0
        const val SMALLEST_CPUS = 0.01

        /** Owners' estimates are often too high by half. */
        const val FEASIBILITY_FACTOR = 0.7

        /** A further shard for a job costs records in it; so much longer a fetch would be as bad. */
        const val FURTHER_SHARD_S = 0.4
        const val FIRST_SHARDS = 2
        val URGENT_BATCH_WINDOW = 500.milliseconds
        val MIN_BATCH_WINDOW = 150.milliseconds
        val MAX_BATCH_WINDOW = 1000.milliseconds
        val GUARANTEE_PREEMPTION_INTERVAL = 1.seconds
        const val GUARANTEE_PREEMPTION_AFTER_S = 3.0
        val log = LoggerFactory.getLogger("assigner")

        /** Cheapest first, then fullest. */
        val BY_COST = Comparator<Place> { a, b ->
            val byCost = a.cost.compareTo(b.cost)
            if (byCost != 0) {
                byCost
            } else {
                a.machineCapacity.free.cpus
                    .compareTo(b.machineCapacity.free.cpus)
            }
        }
    }
}
