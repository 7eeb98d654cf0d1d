package copperglade.coordination

import copperglade.bookkeeping.Factors
import copperglade.bookkeeping.Profile
import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.BlockRoom
import copperglade.protocol.Box
import copperglade.protocol.BoxState
import copperglade.protocol.Command
import copperglade.protocol.ExitCause
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.MachineName
import copperglade.protocol.Moment
import copperglade.protocol.Report
import copperglade.protocol.TaskId
import copperglade.protocol.WorkerWire
import copperglade.protocol.secondsSince
import copperglade.storage.ImageRecord
import copperglade.storage.Job
import copperglade.storage.StateClient
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.math.min
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The owner of one block: picks machines for the block's tasks, starts and stops them, and finds out what became of
 * them. It commands workers only while [Membership.mayAct], and only under batons of its own tenure.
 */
class BlockOwner(
    private val context: OwnerContext,
    store: StateClient,
    val name: BlockName,
    first: Baton,
) {
    private val outcomes = OutcomeLog(context.loop, store, context.replica, this)
    private val cancelledWork = CancelledWork(context.replica)
    private val loop = context.loop
    private val state = BlockState(context, name, first)

    /** By then, every worker that only a former owner answered has lost its lease. */
    private val strangersGoneAt
        get() = maxOf(state.grantedAt, context.absences.over) + context.longestLease
    private val runs = state.runs
    private val health = MachineHealth(state)
    private val summary = BlockSummary(state, health)
    private val failures = HashMap<JobId, Int>()
    private val stragglers = StragglerWatch(context, state::requestOf)
    val machines: MutableMap<MachineName, Machine> get() = state.machines
    private val departures = Departures()

    /** Machines that were dropped and have just been asked whether they live. */
    private val asked = HashSet<MachineName>()
    private var nextSweep = Moment.NEVER

    /** The fencing token under which workers are commanded now. */
    val baton: Baton get() = state.token

    /** Nothing is commanded until the records are known to be as new as the grant. */
    val open: Boolean get() = state.open

    fun holds(stamp: Baton): Boolean = state.isOwnToken(stamp)

    fun open() {
        state.open = true
        context.replica.jobs.values
            .forEach(::sync)
        machines.values.toList().forEach { if (state.isFenced(it)) match(it) }
    }

    /** No longer ours: nothing more is said about it. */
    fun close() {
        state.open = false
    }

    /** The block's key was written anew by ourselves: late copies of older commands die out with the old baton. */
    fun renew(next: Baton) {
        state.raiseToken(next)
    }

    // ---- records -> runs ----

    /** Brings the runs of a job in line with the records. */
    fun sync(job: Job) {
        if (!open) return
        val live = job.live
        val spec = job.spec
        if (live == null || spec == null) {
            drop(job.id)
            return
        }
        val standing = HashSet<Int>()
        for (assignment in job.assignments()) {
            if (assignment.block != name) continue
            standing += assignment.task
            val known = runs[TaskId(job.id, assignment.task)]
            val run = if (known == null ||
                (known.generation != assignment.generation && known.state == RunState.GONE)
            ) {
                val state = if (state.isOwnToken(assignment.baton)) RunState.WAITING else RunState.MISSING
                val task = TaskId(job.id, assignment.task)
                val fresh =
                    Run(task, spec, assignment.generation, live.value.acceptedAtMs, state, loop.now(), runs::moved)
                fresh.restarted = job.restarted(assignment.task)
                runs.add(fresh)
                fresh
            } else {
                known
            }
            run.reschedule(spec)
            if (assignment.recalled) stop(run, StopReason.RECALLED)
            if (job.cancelled) stop(run, StopReason.CANCELLED)
        }
        runs.of(job.id).filter { it.task.index !in standing }.forEach(::forget)
    }

    fun drop(job: JobId) {
        runs.of(job).toList().forEach(::forget)
        failures.remove(job)
    }

    /** The record of its outcome stands; whatever its machine still reports of it is swept up as a stray. */
    private fun forget(run: Run) {
        run.unbind()
        runs.remove(run)
    }

    fun runsOf(job: JobId): Collection<Run> = runs.of(job)

    /** Stops a run, or gives it back at once where it is on no machine. */
    private fun stop(run: Run, reason: StopReason) {
        when (run.state) {
            RunState.WAITING -> {
                run.stopFor(reason)
                finish(run, RunState.GONE, "not started: $reason")
            }
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING -> {
                run.stopFor(reason)
                run.moveTo(RunState.STOPPING, reason.name, loop.now())
                run.machine?.let(::settle)
            }
            RunState.STOPPING -> if (reason == StopReason.CANCELLED ||
                reason == StopReason.RECALLED
            ) {
                run.stopFor(reason)
            }
            RunState.MISSING, RunState.DONE, RunState.GONE -> Unit
        }
    }

    private fun finish(run: Run, state: RunState, why: String) {
        run.moveTo(state, why, loop.now())
        if (state == RunState.GONE) run.unbind()
        outcomes.note(run)
    }

    // ---- reports ----

    /**
     * Takes a worker's own report and answers it; null where it must not be answered with 200. The caller has checked
     * that we may act.
     */
    fun checkin(report: Report): ByteArray? {
        if (departures.covers(report)) {
            ask(report)
            return null
        }
        val known = machines[report.machine]
        if (known != null && known.isDoubtful(report)) return answerInDoubt(known, report)
        if (known != null && known.isCopy(report)) {
            // A late copy, or a machine that began anew with low numbers: only its answer to a question of ours tells.
            fence(known)
            return null
        }
        val machine = hear(report)
        machine.sentBy(report, loop.now())
        if (inVain(machine)) {
            fence(machine)
            return null
        }
        machine.answeredAt = loop.now()
        if (!open || !state.isFenced(machine)) {
            machine.answersInVain++
            fence(machine)
            return answer(report)
        }
        machine.answersInVain = 0
        // Where the direct way is broken, the answer to the report is the other one; it is never executed late. What can
        // wait goes with it in any case: a message of its own for every finished task was a third of all commands.
        val due = commandsFor(machine)
        val commands = when {
            machine.deaf && !machine.commandInFlight -> due
            reapsAreDue(machine) -> due.filterIsInstance<Command.Reap>()
            else -> emptyList()
        }
        if (commands.isNotEmpty()) {
            markSent(commands, machine)
            taint(machine, commands, actsUntil = loop.now() + ANSWER_ACTS)
        }
        return answer(report, commands)
    }

    /** Every answer of 200 is made here: see [CancelledWork] for what none of them may lack. */
    private fun answer(report: Report, commands: List<Command> = emptyList()): ByteArray {
        val halts = cancelledWork.haltsFor(report)
        if (halts.isEmpty()) return WorkerWire.answer(baton, commands)
        val others = commands.filterNot { command ->
            command is Command.Halt &&
                halts.any { it.trip == command.trip && it.task == command.task }
        }
        return WorkerWire.answer(baton, halts + others)
    }

    /**
     * Answers a worker while we may act no more but know of nobody else who would: its lease goes on, and nothing is
     * commanded but the end of what is cancelled. Null where somebody else has given it commands, or it is none that we know well.
     */
    fun keep(report: Report): ByteArray? {
        val known = machines[report.machine]?.takeIf { open && state.isFenced(it) } ?: return null
        if (report.baton > baton || known.isDoubtful(report) || known.isCopy(report)) return null
        hear(report).sentBy(report, loop.now())
        known.answeredAt = loop.now()
        return answer(report)
    }

    /**
     * Every clearing up makes the worker report once more. So it waits for a while, until the next start takes it along, but
     * not where nothing else is left: a machine is idle only once it is empty.
     */
    private fun reapsAreDue(machine: Machine): Boolean =
        machine.runs.none { it.onMachine } || loop.now() >= machine.reapedLast + (context.reportS * REPORTS_A_REAP).seconds

    /**
     * The report may be of the machine's earlier life. It is not taken in, but while the machine answers questions, its
     * lease must go on; one that doesn't gets no 200.
     */
    private fun answerInDoubt(machine: Machine, report: Report): ByteArray? {
        fence(machine)
        if (loop.now() >= machine.heardAt + context.silenceLimit) return null
        machine.reportsArrive(loop.now())
        machine.answeredAt = loop.now()
        return answer(report)
    }

    /**
     * A worker whose reports come, but which takes up no baton: our answers don't arrive. A 200 sent is no proof, but it
     * must be reckoned with; so it gets none any more, and its lease surely runs out.
     */
    private fun inVain(machine: Machine): Boolean =
        open && !state.isFenced(machine) && machine.answersInVain >= MOST_IN_VAIN

    /** Asks a machine that was dropped whether it lives; copies of old reports get no answer. */
    private fun ask(report: Report) {
        if (!open || departures.forGood(report.machine) || !asked.add(report.machine)) return
        val request = Request(Method.POST, WorkerWire.COMMAND_PATH, WorkerWire.order(baton, report.session, emptyList()))
        context.http.call(report.endpoint, request, COMMAND_TIMEOUT) { reply ->
            asked -= report.machine
            val answer = reply?.let { WorkerWire.parseReport(it.body) }
            if (answer != null && answer.machine == report.machine && departures.knows(answer.machine)) {
                log.info("{} is back in session {}", answer.machine, answer.session)
                val departed = departures.sessionOf(answer.machine)
                hear(answer).doubtUpTo(departed, Long.MAX_VALUE)
                departures.isBack(answer.machine)
            }
        }
    }

    private fun hear(report: Report): Machine {
        val machine = machines.getOrPut(report.machine) { discover(report) }
        val before = machine.session
        if (machine.update(report, loop.now())) {
            if (machine.session > before) machine.runs.toList().forEach { lost(it, "session ${machine.session} began") }
            if (open && state.isFenced(machine)) match(machine)
        }
        return machine
    }

    private fun discover(report: Report): Machine {
        val ours = departures.knows(report.machine)
        val fresh = Machine(report.machine, report.zone, report.spot, report.type, report.endpoint, loop.now(), ours)
        context.replica.images[name]
            ?.value
            ?.byMachine
            ?.get(fresh.name)
            ?.let(fresh::rememberImages)
        return fresh
    }

    /**
     * Its answer to a question of ours counts from the start again, so nothing that was on the machine is there any more. A
     * start of unknown outcome may yet arrive and act, since its session may have the same number: it stays bound.
     */
    private fun beganAnew(machine: Machine, report: Report) {
        log.info("{} began anew, {} tasks lost", machine.name, machine.runs.size)
        machine.beginAnew(report, loop.now())
        for (run in machine.runs.toList()) {
            if (machine.tainted(run.task, run.trip)) run.startAgain(loop.now()) else lost(run, "${machine.name} began anew")
        }
        if (state.isFenced(machine)) match(machine)
    }

    private fun fence(machine: Machine) {
        if (!open || machine.commandInFlight || loop.now() < machine.commandSentAt + RESEND) return
        send(machine, emptyList())
    }

    /** Brings the runs in line with what a fenced machine reports. */
    private fun match(machine: Machine) {
        for (box in machine.boxes) adopt(machine, box)
        for (run in machine.runs.toList()) {
            val box = machine.box(run.task, run.trip)
            if (box != null) observe(run, machine, box) else absent(run, machine)
        }
        settle(machine)
    }

    private fun adopt(machine: Machine, box: Box) {
        val run = runs[box.task] ?: return
        if (run.state != RunState.MISSING) return
        if (box.state == BoxState.EXITED && box.cause != ExitCause.DONE) return
        run.bind(machine, box.trip)
        run.seen = true
        run.moveTo(RunState.STARTING, "found on ${machine.name}", loop.now())
        if (cancelledWork.isCancelled(box.task.job)) stop(run, StopReason.CANCELLED)
    }

    private fun observe(run: Run, machine: Machine, box: Box) {
        run.seen = true
        val stopping = run.state == RunState.STOPPING
        when (box.state) {
            BoxState.FETCHING, BoxState.WAITING -> if (!stopping) run.moveTo(RunState.FETCHING, "reported", loop.now())
            BoxState.RUNNING -> {
                context.types[machine.typeName]?.let { machine.usedImage(run.spec.image, it.cacheGb) }
                if (!stopping) run.moveTo(RunState.RUNNING, "reported", loop.now())
            }
            BoxState.SAVING -> Unit
            BoxState.EXITED -> exited(run, machine, box.cause ?: ExitCause.OTHER)
        }
    }

    private fun exited(run: Run, machine: Machine, cause: ExitCause) {
        when (cause) {
            ExitCause.DONE -> {
                profile(run, machine)
                machine.failedJobs.clear()
                finish(run, RunState.DONE, "completed")
            }
            ExitCause.ERROR -> {
                log.warn("{} failed on {}", run.task, machine.name)
                machine.failedJobs += run.task.job
                machine.suspectUntil = loop.now() + SUSPECT
                failed(run, machine, failures.merge(run.task.job, 1, Int::plus) ?: 1)
            }
            ExitCause.STOPPED -> lost(run, "stopped")
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN_JOB, ExitCause.OTHER -> {
                log.info("{} refused by {}: {}", run.task, machine.name, cause)
                failed(run, machine, 1)
            }
        }
    }

    private fun failed(run: Run, machine: Machine, times: Int) {
        run.avoid += machine.name
        run.notBefore = loop.now() + min(BACKOFF_S * (1 shl min(times, BACKOFF_DOUBLINGS)), LONGEST_BACKOFF_S).seconds
        lost(run, "failed")
    }

    private fun profile(run: Run, machine: Machine) {
        val began = run.runningSince ?: return
        val seconds = (loop.now().ms - began.ms) / 1000.0
        if (run.spec.kind != JobKind.ARRAY || run.state != RunState.RUNNING) return
        run.straggledS?.let {
            log.info("straggler {} done on {}: ran {} s here, {} s before", run.task, machine.name, seconds, it)
        }
        context.profiles.record(Profile(machine.name, factors(run, machine), seconds))
    }

    private fun factors(run: Run, machine: Machine) =
        Factors(run.task.job, run.spec.load, machine.typeName, run.spec.request, machine.runs.size)

    /** A run that a newer report does not show. */
    private fun absent(run: Run, machine: Machine) {
        when {
            run.seen -> lost(run, "no longer reported")
            run.state != RunState.STOPPING -> Unit
            // The start was answered or never sent, and the worker does not have it.
            !machine.commandInFlight && !machine.tainted(run.task, run.trip) -> lost(run, "never arrived")
        }
    }

    /** The run is surely on no machine any more. */
    private fun lost(run: Run, why: String) {
        val reason = run.stopReason
        if (run.state == RunState.DONE || run.state == RunState.GONE) return
        run.unbind()
        when (reason) {
            null, StopReason.RESTARTED -> {
                run.clearStop()
                run.moveTo(RunState.WAITING, why, loop.now())
            }
            else -> finish(run, RunState.GONE, "$why, $reason")
        }
    }

    // ---- commands ----

    /** Sends a machine whatever it is still to be told. */
    private fun settle(machine: Machine) {
        if (!open || machine.commandInFlight || machine.deleting || !context.membership.mayAct) return
        if (!state.isFenced(machine)) return fence(machine)
        if (machine.deaf) fence(machine)
        for (run in machine.runs.toList()) {
            if (run.state == RunState.STOPPING && !run.seen && run.startSentAt == Moment.NEVER) lost(run, "never sent")
        }
        val commands = commandsFor(machine)
        if (commands.any { it !is Command.Reap }) send(machine, commands)
    }

    private fun commandsFor(machine: Machine): List<Command> {
        val now = loop.now()
        val commands = ArrayList<Command>()
        for (box in machine.boxes) {
            if (machine.runOf(box) != null) continue
            if (box.state != BoxState.EXITED) {
                commands += Command.Halt(box.task, box.trip, 0.0)
            } else if (!machine.tainted(box.task, box.trip) &&
                now >= (machine.reapedAt[box.trip] ?: Moment.NEVER) + RESEND
            ) {
                // Not before its outcome stands, and never while a late copy of its start could start it once more.
                commands += Command.Reap(box.task, box.trip)
            }
        }
        for (run in machine.runs) {
            when (run.state) {
                RunState.STOPPING -> if (now >=
                    run.haltSentAt + RESEND
                ) {
                    commands += Command.Halt(run.task, run.trip, graceFor(run))
                }
                RunState.STARTING -> if (!run.seen && now >= run.startSentAt + RESEND && context.membership.mayStart) {
                    commands += Command.Start(run.task, run.trip)
                }
                else -> Unit
            }
        }
        return commands.sortedBy { ORDER_OF_COMMANDS.indexOf(it::class) }.take(MOST_COMMANDS)
    }

    private fun graceFor(run: Run): Double = if (run.stopReason == StopReason.CANCELLED) 0.0 else run.spec.saveS

    private fun markSent(commands: List<Command>, machine: Machine) {
        val now = loop.now()
        for (command in commands) {
            val run = runs[command.task]?.takeIf {
                it.trip == command.trip &&
                    it.machine === machine
            }
            when (command) {
                is Command.Start -> run?.startSentAt = now
                is Command.Halt -> run?.haltSentAt = now
                is Command.Reap -> {
                    machine.reapedAt[command.trip] = now
                    machine.reapedLast = now
                }
            }
        }
    }

    private fun taint(machine: Machine, commands: List<Command>, actsUntil: Moment?): List<Taint> {
        val taints = commands
            .filterIsInstance<Command.Start>()
            .map { Taint(it.task, it.trip, machine.session, baton, loop.now(), actsUntil) }
        machine.taints += taints
        return taints
    }

    private fun send(machine: Machine, commands: List<Command>) {
        if (!context.membership.mayAct) return
        markSent(commands, machine)
        val sentAt = loop.now()
        machine.commandInFlight = true
        machine.commandSentAt = sentAt
        val body = WorkerWire.order(baton, machine.session, commands)
        val mine = taint(machine, commands, actsUntil = null)
        context.http.call(
            machine.endpoint,
            Request(Method.POST, WorkerWire.COMMAND_PATH, body),
            COMMAND_TIMEOUT,
        ) { reply ->
            machine.commandInFlight = false
            machine.deafSince = if (reply == null) machine.deafSince ?: loop.now() else null
            if (machines[machine.name] === machine) commanded(machine, reply, mine, sentAt)
        }
    }

    private fun commanded(machine: Machine, reply: Reply?, mine: List<Taint>, sentAt: Moment) {
        // An answer says that this copy was executed or never will be.
        if (reply?.status == OK || reply?.status == CONFLICT) machine.taints.removeAll(mine.toSet())
        val report = reply?.let { WorkerWire.parseReport(it.body) }
        if (report != null && report.machine == machine.name) {
            if (report.baton >
                baton
            ) {
                log.info("{} obeys a higher baton {} than ours, {}", machine.name, report.baton, baton)
            }
            // Asked after its last numbers were taken in, yet it answers with none higher.
            if (sentAt > machine.takenAt && !report.newerThan(machine.session, machine.tally)) beganAnew(machine, report)
            hear(report)
        } else if (reply != null) {
            log.warn("{} answered a command with {}", machine.name, reply.status)
        }
        if (reply != null) settle(machine)
    }

    // ---- the clock ----

    fun tick() {
        if (!open) return
        outcomes.flush()
        val now = loop.now()
        place(now)
        if (now < nextSweep) return
        // Whatever a report or a record changes is seen to at once; the sweep finds what only time has changed.
        nextSweep = now + SWEEP_PACE
        expire(now)
        findMissing(now)
        if (context.membership.mayAct) {
            stragglers.look(machines.values, now).forEach { restart(it) }
            machines.values.toList().forEach(::settle)
        }
    }

    /** A machine that was last answered more than a lease ago has killed its tasks. */
    private fun expire(now: Moment) {
        for (machine in machines.values.toList()) {
            machine.taints.removeIf { it.actsUntil != null && now >= it.actsUntil }
            if (now < machine.answeredAt + context.longestLease) continue
            log.info("{} silent for longer than its lease, {} tasks lost", machine.name, machine.runs.size)
            remove(machine)
        }
    }

    fun deleted(machine: Machine) {
        remove(machine)
        departures.deleted(machine.name)
    }

    private fun remove(machine: Machine) {
        machines.remove(machine.name)
        context.profiles.forgetMachine(machine.name)
        departures.expired(machine.name, machine.session)
        machine.runs.toList().forEach { lost(it, "${machine.name} is gone") }
    }

    /**
     * A task that no worker reports may be started once every worker that could hold it has been heard under our
     * baton or has lost its lease. The cloud's list can't shorten the wait: it lags.
     */
    private fun findMissing(now: Moment) {
        val missing = runs.missing
        if (missing.isEmpty() || now < strangersGoneAt || machines.values.any { !state.isFenced(it) && !it.ours }) return
        for (run in missing) {
            run.moveTo(RunState.WAITING, "on no worker", now)
            if (cancelledWork.isCancelled(run.task.job)) stop(run, StopReason.CANCELLED)
        }
    }

    /**
     * Whether a start of unknown outcome holds something up that only a new baton can settle: a late copy of it could
     * still act, and its machine goes on living. Where direct commands go unanswered that can wait, unless the task is
     * cancelled: its start, held up on the way for longer than a cancellation allows, must find a higher baton there, which
     * the answers to reports bring.
     */
    fun needsNewBaton(): Boolean {
        val now = loop.now()
        return machines.values.any { machine ->
            now < machine.heardAt + context.silenceLimit && machine.taints.any {
                it.actsUntil == null && it.baton == baton && now >= it.since + UNSETTLED &&
                    (!machine.deaf || cancelledWork.isCancelled(it.task.job))
            }
        }
    }

    private fun restart(decision: RestartDecision) {
        val run = decision.run
        run.target = decision.target
        run.restarted = true
        run.straggledS = run.runningSince?.let { loop.now().secondsSince(it) }
        outcomes.note(run)
        stop(run, StopReason.RESTARTED)
    }

    // ---- placing ----

    private fun place(now: Moment) {
        if (!context.membership.mayStart) return
        val waiting = runs.waiting.filter { now >= it.notBefore }
        if (waiting.isEmpty()) return
        placer.place(waiting, machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        placedOn.forEach(::settle)
        placedOn.clear()
    }

    private val placedOn = LinkedHashSet<Machine>()

    private val placer = Placer(
        context.types,
        state::requestOf,
        start = { run, machine ->
            run.bind(machine, state.nextAttempt())
            run.moveTo(RunState.STARTING, "placed", loop.now())
            placedOn += machine
        },
        stop = { stop(it, StopReason.PREEMPTED) },
        giveBack = { finish(it, RunState.GONE, "no room") },
    )

    /** The images of the block's machines, as many as fit into a value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord = summary.imageRecord(limitBytes)

    /** How many of the block's machines have missed a report. */
    fun unheardMachines(now: Moment): Int = health.countUnheard(now)

    /** The capacity of the block's machines, for the leader. */
    fun room(): BlockRoom = summary.room()

    companion object {
        private const val OK = 200
        private const val CONFLICT = 409
        private const val MOST_IN_VAIN = 4
        private const val REPORTS_A_REAP = 2
        private const val MOST_COMMANDS = 200
        private const val BACKOFF_S = 1.0
        private const val BACKOFF_DOUBLINGS = 6
        private const val LONGEST_BACKOFF_S = 60.0

        /** Workers drop answers that come later than 4 s after their report. */
        private val ANSWER_ACTS = 5.seconds
        private val UNSETTLED = 5.seconds
        private val SWEEP_PACE = 400.milliseconds
        private val RESEND = 1000.milliseconds
        private val COMMAND_TIMEOUT = 1500.milliseconds
        private val SUSPECT = 10.seconds
        private val ORDER_OF_COMMANDS = listOf(Command.Reap::class, Command.Halt::class, Command.Start::class)
        private val log = LoggerFactory.getLogger("owner")
    }
}
