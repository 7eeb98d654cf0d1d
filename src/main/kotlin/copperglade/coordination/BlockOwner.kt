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
import copperglade.protocol.WorkerWire
import copperglade.protocol.secondsSince
import copperglade.storage.ImageRecord
import copperglade.storage.Job
import copperglade.storage.StateClient
import org.slf4j.LoggerFactory
import kotlin.time.Duration
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

    private val runs = state.runs
    private val health = MachineHealth(state)
    private val summary = BlockSummary(state, health)
    private val lifecycle = RunLifecycle(state, outcomes)
    private val planner = CommandPlanner(state)
    private val unresolved = UnresolvedStarts(state, cancelledWork)
    private val commands = WorkerCommands(state, planner, unresolved, lifecycle, ::heardReply)
    private val stopper = RunStopper(state, lifecycle, commands)
    private val backoff = RetryBackoff()
    private val reconciler = RunReconciler(state, cancelledWork, stopper, backoff)
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

    /** Brings the runs of a job in line with its records. */
    fun sync(job: Job) = reconciler.sync(job)

    /** The job is over, or nothing is known of it any more. */
    fun drop(job: JobId) = reconciler.drop(job)

    /** The runs of a job's tasks in this block. */
    fun runsOf(job: JobId): Collection<Run> = runs.of(job)

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
            commands.fence(known)
            return null
        }
        val machine = hear(report)
        machine.sentBy(report, loop.now())
        if (inVain(machine)) {
            commands.fence(machine)
            return null
        }
        machine.answeredAt = loop.now()
        if (!open || !state.isFenced(machine)) {
            machine.answersInVain++
            commands.fence(machine)
            return answer(report)
        }
        machine.answersInVain = 0
        return answer(report, commands.withAnswer(machine))
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
     * The report may be of the machine's earlier life. It is not taken in, but while the machine answers questions, its
     * lease must go on; one that doesn't gets no 200.
     */
    private fun answerInDoubt(machine: Machine, report: Report): ByteArray? {
        commands.fence(machine)
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
        commands.probe(report.endpoint, report.session) { answer ->
            asked -= report.machine
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
            if (machine.session > before) machine.runs.toList().forEach { lifecycle.lost(it, "session ${machine.session} began") }
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
            if (machine.tainted(run.task, run.trip)) run.startAgain(loop.now()) else lifecycle.lost(run, "${machine.name} began anew")
        }
        if (state.isFenced(machine)) match(machine)
    }

    /** Brings the runs in line with what a fenced machine reports. */
    private fun match(machine: Machine) {
        for (box in machine.boxes) adopt(machine, box)
        for (run in machine.runs.toList()) {
            val box = machine.box(run.task, run.trip)
            if (box != null) observe(run, machine, box) else absent(run, machine)
        }
        commands.settle(machine)
    }

    private fun adopt(machine: Machine, box: Box) {
        val run = runs[box.task] ?: return
        if (run.state != RunState.MISSING) return
        if (box.state == BoxState.EXITED && box.cause != ExitCause.DONE) return
        run.bind(machine, box.trip)
        run.seen = true
        run.moveTo(RunState.STARTING, "found on ${machine.name}", loop.now())
        if (cancelledWork.isCancelled(box.task.job)) stopper.stop(run, StopReason.CANCELLED)
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
                lifecycle.finish(run, RunState.DONE, "completed")
            }
            ExitCause.ERROR -> {
                log.warn("{} failed on {}", run.task, machine.name)
                machine.failedJobs += run.task.job
                machine.suspectUntil = loop.now() + SUSPECT
                failed(run, machine, backoff.afterFailure(run.task.job))
            }
            ExitCause.STOPPED -> lifecycle.lost(run, "stopped")
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN_JOB, ExitCause.OTHER -> {
                log.info("{} refused by {}: {}", run.task, machine.name, cause)
                failed(run, machine, backoff.afterRefusal())
            }
        }
    }

    private fun failed(run: Run, machine: Machine, pause: Duration) {
        run.avoid += machine.name
        run.notBefore = loop.now() + pause
        lifecycle.lost(run, "failed")
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
            run.seen -> lifecycle.lost(run, "no longer reported")
            run.state != RunState.STOPPING -> Unit
            // The start was answered or never sent, and the worker does not have it.
            !machine.commandInFlight && !machine.tainted(run.task, run.trip) -> lifecycle.lost(run, "never arrived")
        }
    }

    /** Takes in the report with which a machine answered a command that was sent at [sentAt]. */
    private fun heardReply(machine: Machine, report: Report, sentAt: Moment) {
        // Asked after its last numbers were taken in, yet it answers with none higher.
        if (sentAt > machine.takenAt && !report.newerThan(machine.session, machine.tally)) beganAnew(machine, report)
        hear(report)
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
        reconciler.releaseMissing(now)
        if (context.membership.mayAct) {
            stragglers.look(machines.values, now).forEach { restart(it) }
            machines.values.toList().forEach(commands::settle)
        }
    }

    /** A machine that was last answered more than a lease ago has killed its tasks. */
    private fun expire(now: Moment) {
        for (machine in machines.values.toList()) {
            unresolved.forgetExpired(machine, now)
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
        machine.runs.toList().forEach { lifecycle.lost(it, "${machine.name} is gone") }
    }

    /** Whether a start of unknown outcome holds something up that only a new baton can settle. */
    fun needsNewBaton(): Boolean = unresolved.needHigherToken()

    private fun restart(decision: RestartDecision) {
        val run = decision.run
        run.target = decision.target
        run.restarted = true
        run.straggledS = run.runningSince?.let { loop.now().secondsSince(it) }
        outcomes.note(run)
        stopper.stop(run, StopReason.RESTARTED)
    }

    // ---- placing ----

    private fun place(now: Moment) {
        if (!context.membership.mayStart) return
        val waiting = runs.waiting.filter { now >= it.notBefore }
        if (waiting.isEmpty()) return
        placer.place(waiting, machines.values.filter { health.isUsable(it, now) }, now)
        // All that a machine is to start goes in one message.
        placedOn.forEach(commands::settle)
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
        stop = { stopper.stop(it, StopReason.PREEMPTED) },
        giveBack = { lifecycle.finish(it, RunState.GONE, "no room") },
    )

    /** The images of the block's machines, as many as fit into a value of [limitBytes]. */
    fun imageRecord(limitBytes: Int): ImageRecord = summary.imageRecord(limitBytes)

    /** How many of the block's machines have missed a report. */
    fun unheardMachines(now: Moment): Int = health.countUnheard(now)

    /** The capacity of the block's machines, for the leader. */
    fun room(): BlockRoom = summary.room()

    companion object {
        private const val MOST_IN_VAIN = 4

        private val SWEEP_PACE = 400.milliseconds
        private val SUSPECT = 10.seconds
        private val log = LoggerFactory.getLogger("owner")
    }
}
