package copperglade.agents

import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Report
import copperglade.tasks.Machine
import copperglade.tasks.RunLifecycle
import copperglade.tasks.ShardState
import org.slf4j.LoggerFactory

/**
 * Follows which machines a shard has: from a worker's first report until its lease has run out or the machine is deleted.
 *
 * Invariants: of a machine only the newest report counts, by session and tally, unless it has proved that it counts from
 * the start again; a dropped machine comes back only by its answer to a question of ours. They guard against late copies
 * of reports, which may arrive minutes after they were sent and would show tasks and room that are gone.
 */
class MachineTracker(
    private val state: ShardState,
    private val lifecycle: RunLifecycle,
    private val commands: WorkerCommands,
    private val observer: TaskObserver,
    private val unresolved: UnresolvedStarts,
) {
    private val context = state.context
    private val loop = context.loop
    private val machines = state.machines
    private val removedMachines = RemovedMachines(loop)

    /** Dropped machines that have just been asked whether they live. */
    private val probed = HashSet<MachineName>()

    /** Takes in a report if it is new; the machine that it is of. */
    fun hear(report: Report): Machine {
        val machine = machines.getOrPut(report.machine) { discover(report) }
        val sessionBefore = machine.session
        if (machine.update(report, loop.now())) {
            if (machine.session > sessionBefore) loseAll(machine, "session ${machine.session} began")
            if (state.open && state.isFenced(machine)) observer.match(machine)
        }
        return machine
    }

    /**
     * Takes in [report], the machine's answer to a command that was sent at [sentAt]. A machine that was asked after its
     * last numbers were taken in, yet answers with none higher, counts from the start again.
     */
    fun hearReply(machine: Machine, report: Report, sentAt: MonotonicTime) {
        if (sentAt > machine.takenAt && !report.newerThan(machine.session, machine.tally)) restarted(machine, report)
        hear(report)
    }

    /** Whether [report] is of a machine that was dropped, and from before that or from a count begun anew. */
    fun isOfRemovedMachine(report: Report): Boolean = removedMachines.covers(report)

    /** Asks a machine that was dropped whether it lives; late copies of its reports get no answer. */
    fun probeRemovedMachine(report: Report) {
        if (!state.open || removedMachines.forGood(report.machine) || !probed.add(report.machine)) return
        commands.probe(report.endpoint, report.session) { answer ->
            probed -= report.machine
            if (answer != null && answer.machine == report.machine && removedMachines.knows(answer.machine)) {
                log.info("{} is back in session {}", answer.machine, answer.session)
                val removedSession = removedMachines.sessionOf(answer.machine)
                hear(answer).doubtUpTo(removedSession, Long.MAX_VALUE)
                removedMachines.isBack(answer.machine)
            }
        }
    }

    /** Drops machines that were last answered more than a lease ago: they have killed their tasks. */
    fun dropExpired(now: MonotonicTime) {
        for (machine in machines.values.toList()) {
            unresolved.forgetExpired(machine, now)
            if (now < machine.answeredAt + context.longestLease) continue
            log.info("{} silent for longer than its lease, {} tasks lost", machine.name, machine.runs.size)
            drop(machine)
        }
    }

    /** Drops a machine that the cloud has deleted. Machine names are never given again. */
    fun deleted(machine: Machine) {
        drop(machine)
        removedMachines.deleted(machine.name)
    }

    private fun discover(report: Report): Machine {
        val sessionIsOurs = removedMachines.knows(report.machine)
        val discovered = Machine(report.machine, report.zone, report.spot, report.type, report.endpoint, loop.now(), sessionIsOurs)
        context.replica.images[state.name]
            ?.value
            ?.byMachine
            ?.get(discovered.name)
            ?.let(discovered::rememberImages)
        return discovered
    }

    /**
     * The machine's answer to a question of ours counts from the start again, so nothing that was on the machine is there
     * any more. A start of unknown outcome may yet arrive and act, since the new session may have the number of the old: it
     * stays bound.
     */
    private fun restarted(machine: Machine, report: Report) {
        log.info("{} began anew, {} tasks lost", machine.name, machine.runs.size)
        machine.beginAnew(report, loop.now())
        for (run in machine.runs.toList()) {
            val unresolvedStart = machine.hasUnresolvedStart(run.task, run.attempt)
            if (unresolvedStart) run.startAgain(loop.now()) else lifecycle.lost(run, "${machine.name} began anew")
        }
        if (state.isFenced(machine)) observer.match(machine)
    }

    private fun drop(machine: Machine) {
        machines.remove(machine.name)
        context.profiles.forgetMachine(machine.name)
        context.evidence.forgetMachine(machine.name)
        removedMachines.expired(machine.name, machine.session)
        loseAll(machine, "${machine.name} is gone")
    }

    private fun loseAll(machine: Machine, why: String) = machine.runs.toList().forEach { lifecycle.lost(it, why) }

    private companion object {
        val log = LoggerFactory.getLogger("owner")
    }
}
