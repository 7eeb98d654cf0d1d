package copperglade.safety

import copperglade.membership.ActionAuthority
import copperglade.protocol.Attempt
import copperglade.protocol.Command
import copperglade.protocol.Heartbeat
import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.protocol.MachineName
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.protocol.TaskId
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.storage.ReplicaState

/** Why an action is refused for now. */
enum class Refusal {
    /** Neither session lease nor endorsements last, or the records are incomplete or too old to act on. */
    NO_AUTHORITY,

    /** The records are too old to start anything on. */
    STALE_SNAPSHOT,

    /** The job is neither live nor known to have ended. */
    UNKNOWN_JOB,

    /** The job is done, or was cancelled and has been ended. */
    JOB_ENDED,

    /** The job is live and carries the cancelled mark. */
    JOB_CANCELLED,

    /** A job that it depends on is not done. */
    JOB_BLOCKED,

    /** The task is done already. */
    TASK_DONE,
}

/**
 * Decides whether a task may be started, which tasks have to be stopped, and whether a job may be ended: by the records as they are known
 * at this moment, and by the authority to act. All paths ask here, and what goes out to a worker is checked once more immediately before
 * it is sent ([approveCommands], [approveAnswer]).
 *
 * Guards against an action that rests on what was true when it was decided, or on the word of another controller. A leader of an earlier
 * version assigns tasks of jobs whose dependencies are open; an owner that started whatever is assigned would break their order.
 */
class ActionGuard(
    private val replica: Replica,
    private val authority: ActionAuthority,
    private val violations: InvariantViolations,
) {
    private data class TaskAttempt(val task: TaskId, val attempt: Attempt)

    /** Why [task] must not be started now, or null where it may be. */
    fun refusalToStart(task: TaskId): Refusal? = when {
        !authority.mayAct -> Refusal.NO_AUTHORITY
        !authority.mayStartTasks -> Refusal.STALE_SNAPSHOT
        else -> refusalByRecords(task)
    }

    /** Why the records forbid that [task] is started by anybody, or null where they don't. */
    fun refusalByRecords(task: TaskId): Refusal? {
        val job = replica.jobs[task.job]
        return when {
            job?.live == null -> if (replica.endRecordOf(task.job) == null) Refusal.UNKNOWN_JOB else Refusal.JOB_ENDED
            job.cancelled -> Refusal.JOB_CANCELLED
            job.blocked -> Refusal.JOB_BLOCKED
            job.done.get(task.index) -> Refusal.TASK_DONE
            else -> null
        }
    }

    /** Whether [job] is known to be cancelled, by its live record or by its end. */
    fun isCancelled(job: JobId): Boolean = liveJob(job)?.cancelled ?: (replica.endRecordOf(job)?.status == JobStatus.CANCELLED)

    /** Whether nothing of [job] may go on running: it is cancelled, or has ended either way. */
    fun isEndedOrCancelled(job: JobId): Boolean = liveJob(job)?.cancelled ?: (replica.endRecordOf(job) != null)

    private fun liveJob(id: JobId): Job? = replica.jobs[id]?.takeIf { it.live != null }

    /**
     * The stop commands that each answer to [heartbeat] must carry: one for every task that it reports and that must not go on running.
     *
     * No worker's lease is renewed without them. Either the answer arrives, and the tasks end; or it doesn't, and the lease goes on
     * running out. So whatever else delays commands (a shard that is not open yet, a machine not fenced yet, a broken connection, an
     * expired authority to act), a cancelled task is gone one worker lease after the last answer that was given without knowing of the
     * cancellation, and that is bounded by the age of the records. Stop commands can be repeated and are right under any owner, since an
     * end is final.
     */
    fun requiredStops(heartbeat: Heartbeat): List<Command.Stop> = heartbeat.reportedTasks.filter(::mustStop).map(::stopOf)

    private fun mustStop(reported: ReportedTask) = reported.state != ReportedTaskState.EXITED && isEndedOrCancelled(reported.task.job)

    private fun stopOf(reported: ReportedTask) = Command.Stop(reported.task, reported.attempt, graceSeconds = 0.0)

    /** Whether the leader may end [job]: all records are known, it is complete or cancelled, and no task of it is assigned to anybody. */
    fun mayEnd(job: Job): Boolean =
        replica.state == ReplicaState.CURRENT && job.live != null && (job.complete || job.cancelled) && job.assignments().isEmpty()

    // ---- the last check before something is sent ----

    /** Whether a message may go out to a worker now; [detail] says which, should it not. */
    fun approveSending(detail: String): Boolean {
        if (authority.mayAct) return true
        violations.record(Invariant.SENT_WITH_AUTHORITY, detail)
        return false
    }

    /** The [commands] that may go out to [machine]: all of them, unless a path forgot to ask. */
    fun approveCommands(machine: MachineName, commands: List<Command>): List<Command> = commands.filter { command ->
        val refusal = if (command is Command.Start) refusalToStart(command.task) else null
        if (refusal != null) violations.record(Invariant.START_PERMITTED, "task=${command.task} machine=$machine refusal=$refusal")
        refusal == null
    }

    /** The [commands] of an answer that renews the lease of [heartbeat]'s worker, with all of its [requiredStops]. */
    fun approveAnswer(heartbeat: Heartbeat, commands: List<Command>): List<Command> {
        val stopped = commands.filterIsInstance<Command.Stop>().mapTo(HashSet()) { TaskAttempt(it.task, it.attempt) }
        val missing = heartbeat.reportedTasks.filter { mustStop(it) && TaskAttempt(it.task, it.attempt) !in stopped }
        if (missing.isEmpty()) return commands
        violations.record(Invariant.ANSWER_STOPS_ENDED_TASKS, "machine=${heartbeat.machine} tasks=${missing.map { it.task }}")
        return missing.map(::stopOf) + commands
    }

    /** Those of [jobs] that may be ended. */
    fun approveEnds(jobs: List<Job>): List<Job> = jobs.filter { job ->
        val allowed = mayEnd(job)
        if (!allowed) violations.record(Invariant.ENDED_WITHOUT_ASSIGNMENTS, "job=${job.id}")
        allowed
    }
}
