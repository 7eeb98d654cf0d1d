package copperglade.coordination

import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.MemberId
import copperglade.protocol.PeerNote
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.protocol.Stamp
import copperglade.protocol.Team
import copperglade.protocol.TeamName
import copperglade.storage.Assignment
import copperglade.storage.AssignmentGroup
import copperglade.storage.AssignmentPage
import copperglade.storage.Condition
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.WorkPlace
import copperglade.storage.Write
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/** What the lead counts of a team while it decides. */
private class TeamUse(val team: Team) {
    var used = Resources.ZERO

    /** Requests of the team's unfinished jobs so far, in order of acceptance, for what its guarantee covers. */
    var claimed = Resources.ZERO
}

/**
 * The lead's rounds: gives waiting tasks to blocks that have room, within the teams' limits, and writes that down
 * before any owner may start them. All that is assigned counts against its team's limit until its record says that it
 * is surely gone.
 */
class Assigner(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val roomBook: RoomBook,
    private val types: TypeBook,
    private val teams: Map<TeamName, Team>,
    /** By load, the multiples of a deadline that the objectives count. */
    private val deadlineTimes: Map<String, List<Double>>,
    private val noteOf: (MemberId) -> PeerNote?,
) {
    private val inFlight = HashSet<JobId>()

    /** A job's standing assignments at the beginning of a round. */
    private class Candidate(val job: Job, val spec: JobSpec, val standing: List<Assignment>, val guaranteed: Boolean) {
        val acceptedAtMs = job.live!!.value.acceptedAtMs
        val left get() = spec.tasks - job.done.cardinality()
    }

    fun round() {
        val uses = teams.mapValues { TeamUse(it.value) }
        val candidates = gather(uses)
        val waiting = candidates
            .filter { it.job.id !in inFlight && !it.job.cancelled && !it.job.complete }
            .filter { it.standing.size + it.job.done.cardinality() < it.spec.tasks }
        if (waiting.isEmpty()) return
        val rooms = roomBook.rooms(noteOf).filter { it.machine.usable }
        if (rooms.isEmpty()) return
        // No more than can be written now: what must wait is decided later, with more room at a time. Otherwise a
        // queue of decisions about lesser work would hold up the urgent ones behind it.
        var affordable = store.affordableAssignments()
        for (candidate in order(waiting, rooms)) {
            val reserve = if (candidate.spec.priority <= Priority.HIGH) Int.MIN_VALUE else KEPT_FOR_URGENT
            if (affordable <= reserve) continue
            val use = uses[candidate.spec.team] ?: continue
            affordable -= assign(candidate, use, rooms)
        }
    }

    private fun order(waiting: List<Candidate>, rooms: List<RoomBook.Room>): List<Candidate> {
        val poolCpus = rooms.sumOf { room -> room.machine.free.cpus + room.machine.yielding.sumOf { it.cpus } }.coerceAtLeast(1.0)
        val (dated, undated) = waiting.partition { it.spec.deadlineS != null }
        val planned = DeadlinePlan.order(dated.map { plannedJob(it) }, poolCpus)
        val rank = HashMap<JobId, Int>()
        planned.forEachIndexed { index, candidate -> rank[candidate.job.id] = index }
        return (undated + planned).sortedWith(
            compareBy<Candidate> { it.spec.priority }
                .thenBy { if (it.guaranteed) 0 else 1 }
                .thenBy { rank[it.job.id] ?: -1 }
                .thenBy { it.acceptedAtMs },
        )
    }

    private fun plannedJob(candidate: Candidate): PlannedJob<Candidate> {
        val spec = candidate.spec
        val waitedS = (loop.wallMillis() - candidate.acceptedAtMs) / 1000.0
        val deadlineS = spec.deadlineS ?: 0.0
        // Even with all room of the world, the last task still needs its own run time.
        val due = (deadlineTimes[spec.load] ?: ONCE).map { it * deadlineS - waitedS }.filter { it > spec.estimateS }
        return PlannedJob(candidate, candidate.left * spec.request.cpus * spec.estimateS, due)
    }

    private fun gather(uses: Map<TeamName, TeamUse>): List<Candidate> {
        val candidates = ArrayList<Candidate>()
        val inOrder = replica.jobs.values
            .filter { it.live != null }
            .sortedBy { it.live!!.value.acceptedAtMs }
        for (job in inOrder) {
            val spec = job.spec ?: continue
            val standing = job.assignments().toList()
            val use = uses[spec.team] ?: continue
            use.used += spec.request * standing.size
            // Writes under way may have been applied already.
            if (job.id in inFlight) use.used += spec.request * (spec.tasks - standing.size - job.done.cardinality())
            var guaranteed = false
            if (!job.complete && !job.cancelled) {
                use.claimed += spec.request * (spec.tasks - job.done.cardinality())
                guaranteed = use.team.guarantees(use.claimed.cpus, use.claimed.gpus)
            }
            candidates += Candidate(job, spec, standing, guaranteed)
        }
        return candidates
    }

    private class Choice(val task: Int, val room: RoomBook.Room)

    /** Returns how many writes it took. */
    private fun assign(candidate: Candidate, use: TeamUse, rooms: List<RoomBook.Room>): Int {
        val spec = candidate.spec
        val taken = candidate.job.done.clone() as BitSet
        candidate.standing.forEach { taken.set(it.task) }
        val zones = ZoneCount(spec, candidate.standing.map { zoneOf(it.block) })
        val choices = ArrayList<Choice>()
        var task = taken.nextClearBit(0)
        while (task < spec.tasks && choices.size < MOST_TASKS) {
            val after = use.used + spec.request
            if (!use.team.allows(after.cpus, after.gpus)) break
            val room = choose(spec, zones, rooms)
            if (room == null) {
                keepRoom(spec, zones, rooms)
                break
            }
            take(room, spec)
            zones.add(room.machine.zone)
            use.used = after
            choices += Choice(task, room)
            task = taken.nextClearBit(task + 1)
        }
        val pages = choices.groupBy { it.task / Keys.PAGE_TASKS }.entries.take(MOST_PAGES)
        pages.forEach { (page, chosen) -> write(candidate.job, page, chosen) }
        return pages.size
    }

    /** What `oneZone` and `spread` leave open, given the job's other tasks. */
    private class ZoneCount(private val spec: JobSpec, standing: List<String>) {
        private val counts = HashMap<String, Int>()

        init {
            standing.forEach(::add)
        }

        fun add(zone: String) {
            counts.merge(zone, 1, Int::plus)
        }

        fun allows(zone: String): Boolean =
            (!spec.oneZone || counts.keys.all { it == zone }) && (counts[zone] ?: 0) < spec.perZoneLimit
    }

    private fun zoneOf(block: BlockName) = block.text.substringBeforeLast('.')

    /** Lets the machine that comes closest to holding the task gather room for it. */
    private fun keepRoom(spec: JobSpec, zones: ZoneCount, rooms: List<RoomBook.Room>) {
        rooms
            .filter { !it.kept && spec.allows(it.machine.type, it.machine.zone, it.machine.spot) && zones.allows(it.machine.zone) }
            .maxByOrNull { it.free.cpus }
            ?.kept = true
    }

    private fun choose(spec: JobSpec, zones: ZoneCount, rooms: List<RoomBook.Room>): RoomBook.Room? {
        var best: RoomBook.Room? = null
        var bestCost = Double.MAX_VALUE
        for (room in rooms) {
            val machine = room.machine
            if (room.kept || !spec.allows(machine.type, machine.zone, machine.spot) || !zones.allows(machine.zone)) continue
            val cost = cost(spec, room) ?: continue
            if (cost < bestCost || (cost == bestCost && room.free.cpus < best!!.free.cpus)) {
                best = room
                bestCost = cost
            }
        }
        return best
    }

    /** What a task would cost there, or null where it doesn't fit even if lower work is stopped. */
    private fun cost(spec: JobSpec, room: RoomBook.Room): Double? {
        val preempts = !spec.request.fitsIn(room.free)
        if (preempts) {
            val yielding = room.yielding.drop(spec.priority.ordinal + 1).fold(room.free) { sum, more -> sum + more }
            if (!spec.request.fitsIn(yielding)) return null
        }
        val machine = room.machine
        return PlacementCost.of(spec, types[machine.type], machine.spot, spec.image.name in machine.images, preempts)
    }

    private fun take(room: RoomBook.Room, spec: JobSpec) {
        room.free -= spec.request
        // Room that was had by stopping lower work is gone from what that work could still yield.
        var priority = room.yielding.lastIndex
        while (room.free.cpus < 0.0 && priority > spec.priority.ordinal) {
            room.free += room.yielding[priority]
            room.yielding[priority] = Resources.ZERO
            priority--
        }
    }

    private fun write(job: Job, page: Int, choices: List<Choice>) {
        val present = job.pages[page]
        val generation = (present?.value?.lastGeneration ?: 0) + 1
        val groups = standingGroups(job, page, present?.value)
        val conditions = LinkedHashSet<Condition>()
        conditions += leadership.condition
        conditions += Condition(Keys.live(job.id), job.liveStamp())
        conditions += Condition(Keys.page(job.id, page), present?.stamp ?: Stamp.ABSENT)
        for ((block, chosen) in choices.groupBy { it.room.block }) {
            val record = replica.blocks[block] ?: return
            conditions += Condition(Keys.block(block), record.stamp)
            val tasks = BitSet()
            chosen.forEach { tasks.set(it.task) }
            groups += AssignmentGroup(block, Baton(record.stamp.number), generation, tasks)
        }
        val recalled = present?.value?.recalled?.clone() as BitSet? ?: BitSet()
        choices.forEach { recalled.clear(it.task) }
        val record = AssignmentPage(groups, recalled, generation)
        val transaction = Transaction(conditions.toList(), listOf(Write.Set(Keys.page(job.id, page), RecordCodec.encode(record))))
        inFlight += job.id
        store.commit(Urgency.ASSIGNMENT, transaction) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    log.debug("{} tasks of {} assigned", choices.size, job.id)
                    val request = job.spec?.request ?: Resources.ZERO
                    choices.forEach { roomBook.gave(it.room, outcome.stamp, request) }
                    replica.applied(transaction, outcome.stamp)
                    inFlight -= job.id
                }
                TransactionOutcome.Refused -> loop.after(AFTER_REFUSAL) { inFlight -= job.id }
                else -> settle(job.id)
            }
        }
    }

    /** Until a fresh reading shows what became of the write, its tasks count as assigned. */
    private fun settle(job: JobId) {
        replica.fresh { known -> if (known) inFlight -= job else loop.after(AFTER_REFUSAL) { settle(job) } }
    }

    /** The page's groups without the tasks that are done or given back. */
    private fun standingGroups(job: Job, page: Int, present: AssignmentPage?): ArrayList<AssignmentGroup> {
        val groups = ArrayList<AssignmentGroup>()
        for (group in present?.groups.orEmpty()) {
            val tasks = group.tasks.clone() as BitSet
            tasks.andNot(job.done)
            job.works[WorkPlace(page, group.block)]
                ?.value
                ?.returned
                ?.get(group.generation)
                ?.let(tasks::andNot)
            if (!tasks.isEmpty) groups += AssignmentGroup(group.block, group.baton, group.generation, tasks)
        }
        return groups
    }

    private companion object {
        val ONCE = listOf(1.0)
        const val KEPT_FOR_URGENT = 4
        const val MOST_TASKS = 2000
        const val MOST_PAGES = 8
        val AFTER_REFUSAL = 200.milliseconds
        val log = LoggerFactory.getLogger("assigner")
    }
}
