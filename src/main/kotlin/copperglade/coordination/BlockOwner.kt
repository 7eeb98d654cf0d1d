package copperglade.coordination

import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.BlockRoom
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Moment
import copperglade.protocol.Report
import copperglade.protocol.secondsSince
import copperglade.storage.ImageRecord
import copperglade.storage.Job
import copperglade.storage.StateClient
import kotlin.time.Duration.Companion.milliseconds

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
    private val observer = TaskObserver(state, cancelledWork, lifecycle, stopper, commands, backoff)
    private val tracker = MachineTracker(state, lifecycle, commands, observer, unresolved)
    private val intake = ReportIntake(state, cancelledWork, tracker, commands)
    private val stragglers = StragglerWatch(context, state::requestOf)
    val machines: MutableMap<MachineName, Machine> get() = state.machines
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
        machines.values.toList().forEach { if (state.isFenced(it)) observer.match(it) }
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

    /**
     * Takes a worker's own report and answers it; null where it must not be answered with 200. The caller has checked
     * that we may act.
     */
    fun checkin(report: Report): ByteArray? = intake.checkin(report)

    /**
     * Answers a worker while we may act no more but know of nobody else who would; null where it must not be answered
     * with 200.
     */
    fun keep(report: Report): ByteArray? = intake.keep(report)

    /** Commands need the tracker for what they bring back, and the tracker needs commands: this ties the two together. */
    private fun heardReply(machine: Machine, report: Report, sentAt: Moment) {
        tracker.hearReply(machine, report, sentAt)
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
        tracker.dropExpired(now)
        reconciler.releaseMissing(now)
        if (context.membership.mayAct) {
            stragglers.look(machines.values, now).forEach { restart(it) }
            machines.values.toList().forEach(commands::settle)
        }
    }

    /** Drops a machine that the cloud has deleted. */
    fun deleted(machine: Machine) = tracker.deleted(machine)

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
        private val SWEEP_PACE = 400.milliseconds
    }
}
