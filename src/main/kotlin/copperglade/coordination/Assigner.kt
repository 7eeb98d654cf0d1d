package copperglade.coordination

import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.protocol.Objectives
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
import copperglade.storage.JobPage
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.SheetPacker
import copperglade.storage.SheetWrite
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.WorkPlace
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
    private val objectives: Objectives,
    private val turns: Turns,
    private val noteOf: (MemberId) -> PeerNote?,
) {
    /** Arrays are written again and again while they run, services once: apart, a round of arrays is few sheets. */
    private val packers = JobKind.entries.associateWith { kind ->
        SheetPacker(
            replica,
            store.limits,
            Keys.sheetsOf(kind),
            { job, page -> job.pages[page] },
            { job, page -> job.pages[page]?.let { RecordCodec.encode(it.value) } },
        )
    }
    private val recall = Recall(teams)
    private var recalledAt = Moment.NEVER

    /** Tasks whose assignment is on its way or of unknown outcome: they count as assigned. */
    private val pending = HashMap<JobId, Int>()

    /** The spell of leading that [pending] belongs to. */
    private var term = Stamp.ABSENT
    private var unhurriedFrom = Moment.NEVER
    private var hurriedFrom = Moment.NEVER
    private var unhurriedWrittenAt = Moment.NEVER

    /** A job's standing assignments at the beginning of a round. */
    private class Candidate(val job: Job, val spec: JobSpec, val standing: List<Assignment>, val guaranteed: Boolean) {
        val acceptedAtMs = job.live!!.value.acceptedAtMs
        val left get() = spec.tasks - job.done.cardinality()
        val urgent get() = spec.priority <= Priority.HIGH
    }

    private class Choice(val task: Int, val room: RoomBook.Room)

    /** What a round has chosen, by the pages to be written. */
    private class Decisions {
        val choices = LinkedHashMap<JobPage, List<Choice>>()
        val recalls = LinkedHashMap<JobPage, BitSet>()
        val places get() = choices.keys + recalls.keys
    }

    private fun packerOf(job: Job): SheetPacker = packers.getValue(
        job.live!!
            .value.spec.kind,
    )

    fun round() {
        if (term != leadership.stamp) beginTerm()
        val now = loop.now()
        val unhurried = now >= unhurriedFrom
        if (!unhurried && (now < hurriedFrom || replica.jobs.values.none(::urgentlyWaits))) return
        val uses = teams.mapValues { TeamUse(it.value) }
        val all = gather(uses)
        val waiting = all.filter { waits(it) && (unhurried || it.urgent) }
        if (waiting.isEmpty()) return
        // The scarcer the budget, the longer is gathered, and the more is decided at a time. Also what is urgent: a write
        // for each new service took the whole budget of a grown day's burst, and for 90 s no array was assigned.
        hurriedFrom = now + HURRIED_GATHERING * (1.0 - store.writeLevel())
        if (unhurried) unhurriedFrom = now + SHORTEST_GATHERING + LONGEST_GATHERING * (1.0 - store.writeLevel())
        val rooms = roomBook.rooms(noteOf).filterTo(ArrayList()) { it.machine.usable }
        if (rooms.isEmpty()) return
        val decisions = Decisions()
        val poolCpus = rooms.sumOf { room -> room.machine.free.cpus + room.machine.yielding.sumOf { it.cpus } }.coerceAtLeast(1.0)
        val (urgent, others) = order(waiting, poolCpus).partition { it.urgent }
        val inTurn = turns.of(others.map(::longWaiting), poolCpus)
        val first = inTurn.mapTo(HashSet()) { it.first }
        val inOrder = urgent.map { it to MOST_TASKS } + inTurn + others.filter { it !in first }.map { it to MOST_TASKS }
        for ((candidate, most) in inOrder) {
            val use = uses[candidate.spec.team] ?: continue
            assign(candidate, use, rooms, decisions, most)
        }
        if (unhurried && now >= recalledAt + RECALL_PACE) {
            recalledAt = now
            recallBorrowed(all, uses, decisions)
        }
        write(decisions)
    }

    /** What other teams have borrowed is stopped where a guarantee has been waiting for room. */
    private fun recallBorrowed(all: List<Candidate>, uses: Map<TeamName, TeamUse>, decisions: Decisions) {
        val chosen = decisions.choices.keys.mapTo(HashSet()) { it.job }
        val claims = all
            .filter { it.guaranteed && waits(it) && it.job.id !in chosen && it.waitedS >= RECALL_AFTER_S }
            .map { Claim(it.spec.team, it.spec.request, it.left - it.standing.size) }
        if (claims.isEmpty()) return
        val lent = all
            .filter { !it.guaranteed && it.spec.kind == JobKind.ARRAY && it.job.id !in pending && it.job.id !in chosen }
            .map { Borrowed(it.job, it.spec, it.standing) }
        val used = uses.mapValues { it.value.used.cpus }
        for ((job, tasks) in recall.choose(claims, lent, used)) {
            tasks.groupBy { it.task / Keys.PAGE_TASKS }.forEach { (page, its) ->
                if (packerOf(job).ready(job, page)) {
                    decisions.recalls[JobPage(job.id, page)] = BitSet().apply { its.forEach { set(it.task) } }
                }
            }
            log.info("{} tasks of {} are recalled for a guarantee", tasks.size, job.id)
        }
    }

    private fun longWaiting(candidate: Candidate): LongWaiting<Candidate> {
        val cpus = candidate.spec.request.cpus
            .coerceAtLeast(SMALLEST_CPUS)
        val begun = candidate.standing.isNotEmpty() || !candidate.job.done.isEmpty
        val mayBeInTime = plannedJob(candidate).dueInS.isNotEmpty()
        return LongWaiting(candidate, candidate.waitedS, cpus, candidate.standing.size * cpus, begun, mayBeInTime)
    }

    private val Candidate.waitedS get() = (loop.wallMillis() - acceptedAtMs) / MS

    private fun urgentlyWaits(job: Job): Boolean {
        val spec = job.spec ?: return false
        if (spec.priority > Priority.HIGH || job.cancelled || job.id in pending) return false
        return job.assignments().size + job.done.cardinality() < spec.tasks
    }

    private fun beginTerm() {
        term = leadership.stamp
        pending.clear()
        packers.values.forEach { it.endAll() }
    }

    private fun waits(candidate: Candidate): Boolean {
        val job = candidate.job
        return job.id !in pending && !job.cancelled && !job.complete &&
            candidate.standing.size + job.done.cardinality() < candidate.spec.tasks
    }

    private fun order(waiting: List<Candidate>, poolCpus: Double): List<Candidate> {
        val (dated, undated) = waiting.partition { it.spec.deadlineS != null }
        val teamCpus = { team: TeamName -> teams[team]?.cpusMax?.takeIf { it > 0.0 } ?: poolCpus }
        val planned = DeadlinePlan(poolCpus, teamCpus).order(dated.map { plannedJob(it) })
        val rank = HashMap<JobId, Int>()
        planned.forEachIndexed { index, candidate -> rank[candidate.job.id] = index }
        return (undated + planned).sortedWith(
            compareBy<Candidate> { it.spec.priority }
                // What is too late for its guarantee anyway goes by the plan: a team's late jobs, being its oldest, would
                // otherwise have its guarantee to themselves, and make the next ones late as well.
                .thenBy { if (it.guaranteed && it.waitedS <= objectives.guaranteeWithinS) 0 else 1 }
                .thenBy { rank[it.job.id] ?: -1 }
                .thenBy { it.acceptedAtMs },
        )
    }

    private fun plannedJob(candidate: Candidate): PlannedJob<Candidate> {
        val spec = candidate.spec
        val waitedS = candidate.waitedS
        val deadlineS = spec.deadlineS ?: 0.0
        // Even with all room of the world, the last task still needs its own run time.
        val due = (objectives.deadlineTimes[spec.load] ?: ONCE).map { it * deadlineS - waitedS }.filter { it > spec.estimateS * HOPEFUL }
        return PlannedJob(candidate, candidate.left * spec.request.cpus * spec.estimateS, due, waitedS, spec.team)
    }

    private fun gather(uses: Map<TeamName, TeamUse>): List<Candidate> {
        val candidates = ArrayList<Candidate>()
        val inOrder = replica.jobs.values
            .filter { it.live != null }
            .sortedBy { it.live!!.value.acceptedAtMs }
        for (job in inOrder) {
            val spec = job.spec ?: continue
            val standing = job.assignments()
            val use = uses[spec.team] ?: continue
            use.used += spec.request * (standing.size + (pending[job.id] ?: 0))
            var guaranteed = false
            if (!job.complete && !job.cancelled) {
                use.claimed += spec.request * (spec.tasks - job.done.cardinality())
                guaranteed = use.team.guarantees(use.claimed.cpus, use.claimed.gpus)
            }
            candidates += Candidate(job, spec, standing, guaranteed)
        }
        return candidates
    }

    private fun assign(candidate: Candidate, use: TeamUse, rooms: List<RoomBook.Room>, decisions: Decisions, most: Int) {
        val spec = candidate.spec
        val taken = candidate.job.done.clone() as BitSet
        candidate.standing.forEach { taken.set(it.task) }
        val zones = ZoneCount(spec, candidate.standing.map { zoneOf(it.block) })
        val places = places(candidate, zones, rooms).iterator()
        val choices = ArrayList<Choice>()
        var place = if (places.hasNext()) places.next() else null
        var task = taken.nextClearBit(0)
        while (task < spec.tasks && choices.size < most) {
            val after = use.used + spec.request
            if (!use.team.allows(after.cpus, after.gpus)) break
            // Nothing makes room in a round: a place that is full, or in a zone that is, stays so.
            while (place != null && !(place.holds(spec) && zones.allows(place.room.machine.zone))) {
                place = if (places.hasNext()) places.next() else null
            }
            if (place == null) {
                keepRoom(spec, zones, rooms)
                break
            }
            place.take(spec)
            zones.add(place.room.machine.zone)
            use.used = after
            choices += Choice(task, place.room)
            task = taken.nextClearBit(task + 1)
        }
        for ((page, chosen) in choices.groupBy { it.task / Keys.PAGE_TASKS }) {
            if (packerOf(candidate.job).ready(candidate.job, page)) decisions.choices[JobPage(candidate.job.id, page)] = chosen
        }
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

    /** A machine with room for tasks of a job, as it is or by stopping lower work, and what a task costs there. */
    private class Place(val room: RoomBook.Room, val preempts: Boolean, val cost: Double) {
        fun holds(spec: JobSpec): Boolean = !room.kept &&
            if (preempts) spec.request.fitsIn(withYielding(room, spec)) else spec.request.fitsIn(room.free)

        fun take(spec: JobSpec) {
            room.free -= spec.request
            // Room that was had by stopping lower work is gone from what that work could still yield.
            var priority = room.yielding.lastIndex
            while (room.free.cpus < 0.0 && priority > spec.priority.ordinal) {
                room.free += room.yielding[priority]
                room.yielding[priority] = Resources.ZERO
                priority--
            }
        }
    }

    private fun zoneOf(block: BlockName) = block.text.substringBeforeLast('.')

    /** Lets the machine that comes closest to holding the task gather room for it. */
    private fun keepRoom(spec: JobSpec, zones: ZoneCount, rooms: List<RoomBook.Room>) {
        rooms
            .filter { !it.kept && spec.allows(it.machine.type, it.machine.zone, it.machine.spot) && zones.allows(it.machine.zone) }
            .maxByOrNull { it.free.cpus }
            ?.kept = true
    }

    /** The places for a job's tasks, cheapest first, then fullest: weighed once a job, not once a task. */
    private fun places(candidate: Candidate, zones: ZoneCount, rooms: List<RoomBook.Room>): List<Place> {
        val spec = candidate.spec
        val blocks = blocksFor(candidate, rooms)
        val places = ArrayList<Place>()
        for (room in rooms) {
            val machine = room.machine
            val further = if (room.block in blocks) 0.0 else FURTHER_BLOCK_S
            if (room.kept || !spec.allows(machine.type, machine.zone, machine.spot) || !zones.allows(machine.zone)) continue
            if (spec.request.fitsIn(room.free)) {
                places += Place(room, preempts = false, cost(spec, room, preempts = false) + further)
            }
            if (yields(room, spec) && spec.request.fitsIn(withYielding(room, spec))) {
                places += Place(room, preempts = true, cost(spec, room, preempts = true) + further)
            }
        }
        return places.sortedWith(compareBy({ it.cost }, { it.room.free.cpus }))
    }

    /** Where a job's tasks had better be: few blocks have few records of it to write. */
    private fun blocksFor(candidate: Candidate, rooms: List<RoomBook.Room>): Set<BlockName> {
        if (candidate.standing.isNotEmpty()) return candidate.standing.mapTo(HashSet()) { it.block }
        val all = rooms.mapTo(LinkedHashSet()) { it.block }.toList()
        val first = Math.floorMod(candidate.job.id.hashCode(), all.size)
        return (0 until FIRST_BLOCKS).mapTo(HashSet()) { all[(first + it) % all.size] }
    }

    private fun cost(spec: JobSpec, room: RoomBook.Room, preempts: Boolean): Double {
        val machine = room.machine
        return PlacementCost.of(spec, types[machine.type], machine.spot, spec.image.name in machine.images, preempts)
    }

    /** The page with the [choices] added, and without the tasks that are done or given back. */
    private fun pageWith(job: Job, page: Int, choices: List<Choice>, recalls: BitSet?): AssignmentPage {
        val present = job.pages[page]?.value ?: AssignmentPage.EMPTY
        val groups = standingGroups(job, page, present)
        val generation = present.lastGeneration + 1
        var frontier = present.frontier
        for ((block, chosen) in choices.groupBy { it.room.block }) {
            val baton = Baton(
                replica.blocks
                    .getValue(block)
                    .stamp.number,
            )
            val again = BitSet()
            val first = BitSet()
            chosen.forEach { if (it.task < present.frontier) again.set(it.task) else first.set(it.task) }
            // A task that was never assigned can't have been given back, so it may share a group that stands already:
            // a group for every round would outgrow the value.
            val joined = groups.indexOfFirst { it.block == block && it.baton == baton }
            if (!first.isEmpty && joined >= 0) {
                val group = groups[joined]
                val tasks = group.tasks.clone() as BitSet
                tasks.or(first)
                groups[joined] = AssignmentGroup(block, baton, group.generation, tasks)
            } else {
                again.or(first)
            }
            if (!again.isEmpty) groups += AssignmentGroup(block, baton, generation, again)
            frontier = maxOf(frontier, chosen.maxOf { it.task } + 1)
        }
        val recalled = present.recalled.clone() as BitSet
        choices.forEach { recalled.clear(it.task) }
        recalls?.let(recalled::or)
        return AssignmentPage(groups, recalled, generation, frontier, present.version + 1)
    }

    private fun standingGroups(job: Job, page: Int, present: AssignmentPage): ArrayList<AssignmentGroup> {
        val groups = ArrayList<AssignmentGroup>()
        for (group in present.groups) {
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

    private fun write(decisions: Decisions) {
        val changes = LinkedHashMap<JobPage, ByteArray>()
        for (place in decisions.places) {
            val choices = decisions.choices[place].orEmpty()
            if (choices.any { it.room.block !in replica.blocks }) continue
            val job = replica.jobs.getValue(place.job)
            changes[place] = RecordCodec.encode(pageWith(job, place.page, choices, decisions.recalls[place]))
        }
        // No more than can be written now: what must wait is decided later, with more room at a time. Otherwise a
        // queue of decisions about lesser work would hold up the urgent ones behind it.
        var affordable = store.affordableAssignments()
        for (sheet in pack(changes)) {
            val urgent = sheet.places.any { replica.jobs[it.job]?.spec?.let { spec -> spec.priority <= Priority.HIGH } ?: false }
            if (!urgent) {
                // However little there is, some of it is theirs.
                if (affordable <= store.keptForUrgent && loop.now() < unhurriedWrittenAt + LONGEST_WITHOUT) {
                    store.missed(sheet.writes.size)
                    continue
                }
                unhurriedWrittenAt = loop.now()
            }
            affordable -= sheet.writes.size
            commit(sheet, sheet.places.associateWith { decisions.choices[it].orEmpty() })
        }
    }

    /** Services first: they are the urgent ones as a rule. */
    private fun pack(changes: Map<JobPage, ByteArray>): List<SheetWrite> = packers.entries
        .sortedBy { it.key != JobKind.SERVICE }
        .flatMap { (kind, packer) -> packer.pack(changes.filterKeys { replica.jobs[it.job]?.spec?.kind == kind }) }

    private fun commit(sheet: SheetWrite, choices: Map<JobPage, List<Choice>>) {
        val conditions = LinkedHashSet<Condition>()
        conditions += leadership.condition
        conditions += sheet.conditions
        for ((place, chosen) in choices) {
            conditions += Condition(Keys.live(place.job), replica.jobs.getValue(place.job).liveStamp())
            chosen.mapTo(conditions) { Condition(Keys.block(it.room.block), replica.blocks.getValue(it.room.block).stamp) }
        }
        if (conditions.size > store.limits.transactionConditions) return commitPart(choices)
        val transaction = Transaction(conditions.toList(), sheet.writes)
        val counts = HashMap<JobId, Int>()
        choices.forEach { (place, chosen) -> counts.merge(place.job, chosen.size, Int::plus) }
        counts.forEach { (job, count) -> pending.merge(job, count, Int::plus) }
        sheet.packer.begin(sheet)
        val spell = term
        store.commit(Urgency.ASSIGNMENT, transaction) { outcome ->
            if (spell != term) return@commit
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    log.debug("{} assigned", counts)
                    for ((place, chosen) in choices) {
                        val request = replica.jobs[place.job]?.spec?.request ?: Resources.ZERO
                        chosen.forEach { roomBook.gave(it.room, outcome.stamp, request) }
                    }
                    replica.applied(transaction, outcome.stamp)
                    settled(sheet, counts)
                }
                TransactionOutcome.Refused -> loop.after(AFTER_REFUSAL) { if (spell == term) settled(sheet, counts) }
                // Somebody cancelled, a block changed hands: surely not applied, but what stood in the way must be known.
                is TransactionOutcome.Conflict -> replica.fresh { if (spell == term) settled(sheet, counts) }
                TransactionOutcome.Unknown, TransactionOutcome.NoSuchPermit -> unsettled(sheet, counts, spell)
            }
        }
    }

    /** Too many jobs for one transaction: the first half of them now, the others in a later round. */
    private fun commitPart(choices: Map<JobPage, List<Choice>>) {
        if (choices.size < 2) return log.warn("assignments of {} need too many conditions", choices.keys)
        val part = choices.entries.take(choices.size / 2).associate { it.key to it.value }
        val changes = part.mapValues { (place, chosen) ->
            RecordCodec.encode(pageWith(replica.jobs.getValue(place.job), place.page, chosen, recalls = null))
        }
        pack(changes).forEach { sheet -> commit(sheet, sheet.places.associateWith { part.getValue(it) }) }
    }

    private fun settled(sheet: SheetWrite, counts: Map<JobId, Int>) {
        sheet.packer.end(sheet)
        counts.forEach { (job, count) -> pending.computeIfPresent(job) { _, sum -> (sum - count).takeIf { it > 0 } } }
    }

    /**
     * A write of unknown outcome may be applied at any later time, as long as its sheets are what they were. Its tasks
     * count as assigned until a reading shows that the sheets have changed, by that write or by one of ours: giving
     * their share to others on the word of a reading alone could put a team over its limit.
     */
    private fun unsettled(sheet: SheetWrite, counts: Map<JobId, Int>, spell: Stamp) {
        val again = { loop.after(AFTER_REFUSAL) { unsettled(sheet, counts, spell) } }
        replica.fresh { known ->
            if (spell != term) return@fresh
            if (!known) return@fresh again()
            val changed = sheet.conditions.any {
                replica.sheets[it.key]?.stamp != it.stamp &&
                    (it.key in replica.sheets || it.stamp != Stamp.ABSENT)
            }
            if (changed) return@fresh settled(sheet, counts)
            val same = sheet.packer.same(sheet)
            val transaction = Transaction(listOf(leadership.condition) + same.conditions, same.writes)
            store.commit(Urgency.ASSIGNMENT, transaction) { outcome ->
                if (spell != term) return@commit
                if (outcome is TransactionOutcome.Applied) {
                    replica.applied(transaction, outcome.stamp)
                    settled(sheet, counts)
                } else {
                    again()
                }
            }
        }
    }

    private companion object {
        val ONCE = listOf(1.0)
        const val MOST_TASKS = 2000
        const val MS = 1000.0
        const val SMALLEST_CPUS = 0.01

        /** Owners' estimates are often too high by half. */
        const val HOPEFUL = 0.7

        /** A further block for a job costs records in it; so much longer a fetch would be as bad. */
        const val FURTHER_BLOCK_S = 0.4
        const val FIRST_BLOCKS = 2
        val HURRIED_GATHERING = 500.milliseconds
        val LONGEST_WITHOUT = 1500.milliseconds
        val SHORTEST_GATHERING = 150.milliseconds
        val LONGEST_GATHERING = 1000.milliseconds
        val AFTER_REFUSAL = 200.milliseconds
        val RECALL_PACE = 1.seconds
        const val RECALL_AFTER_S = 3.0
        val log = LoggerFactory.getLogger("assigner")

        fun yields(room: RoomBook.Room, spec: JobSpec) =
            (spec.priority.ordinal + 1..room.yielding.lastIndex).any { room.yielding[it].cpus > 0.0 }

        fun withYielding(room: RoomBook.Room, spec: JobSpec): Resources =
            (spec.priority.ordinal + 1..room.yielding.lastIndex).fold(room.free) { sum, lower -> sum + room.yielding[lower] }
    }
}
