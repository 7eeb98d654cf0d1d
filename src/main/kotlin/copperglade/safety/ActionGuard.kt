package copperglade.safety

import copperglade.membership.ActionAuthority
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

/** Why something must not be done now. */
enum class Refusal {
    /** Neither session lease nor endorsements last, or the records are not known at present. */
    NO_AUTHORITY,

    /** What is known is too old to start anything on. */
    STALE_SNAPSHOT,

    /** The job is neither live nor known to have ended. */
    UNKNOWN_JOB,
    JOB_ENDED,
    JOB_CANCELLED,

    /** A job that it needs is not done. */
    JOB_BLOCKED,
    TASK_DONE,
}

/**
 * Decides whether a task may be started, which tasks have to be stopped, and whether a job may be ended: by the records as they are known
 * at this moment, and by the right to act. All paths ask here, and what goes out to a worker is checked once more on its way
 * ([approveCommands], [approveAnswer]).
 *
 * Guards against an action that rests on what was true when it was decided, or on the word of another controller. A leader of an earlier
 * version assigns tasks of jobs that still wait for others; an owner that started whatever is assigned broke the order of a pipeline.
 */
class ActionGuard(private val replica: Replica, private val right: ActionAuthority, private val violations: InvariantViolations) {
    /** Why [task] must not be started now, or null where it may be. */
    fun refusalToStart(task: TaskId): Refusal? = when {
        !right.mayAct -> Refusal.NO_AUTHORITY
        !right.mayStart -> Refusal.STALE_SNAPSHOT
        else -> refusalByRecords(task)
    }

    /** Why the records forbid that [task] is started, whoever has the right to, or null. */
    fun refusalByRecords(task: TaskId): Refusal? {
        val job = replica.jobs[task.job]
        return when {
            job?.live == null -> if (replica.endOf(task.job) == null) Refusal.UNKNOWN_JOB else Refusal.JOB_ENDED
            job.cancelled -> Refusal.JOB_CANCELLED
            job.blocked -> Refusal.JOB_BLOCKED
            job.done.get(task.index) -> Refusal.TASK_DONE
            else -> null
        }
    }

    /** Whether [job] is known to be cancelled, by its live record or by its end. */
    fun isCancelled(job: JobId): Boolean {
        val live = replica.jobs[job]?.takeIf { it.live != null }
        return live?.cancelled ?: (replica.endOf(job)?.status == JobStatus.CANCELLED)
    }

    /** Whether nothing of [job] may go on running: it is cancelled, or has ended either way. */
    fun isEndedOrCancelled(job: JobId): Boolean {
        val live = replica.jobs[job]?.takeIf { it.live != null }
        return live?.cancelled ?: (replica.endOf(job) != null)
    }

    /**
     * No worker's lease is renewed without its being told to end what is known to be over: each answer to a report carries the stop
     * commands for such tasks that the report shows. Either it arrives, and they end; or it doesn't, and the lease goes on running. So
     * whatever else holds commands up (a shard not open yet, a machine not fenced yet, a direct way that is broken, a right to act that
     * has run out), a cancelled task is gone a lease after the last answer that was given without knowing of the cancellation, and that
     * is bounded by the age of knowledge. Stop commands can be repeated and are right under any owner, since an end is final.
     */
    fun requiredStops(heartbeat: Heartbeat): List<Command.Stop> =
        heartbeat.reportedTasks.filter(::mustStop).map { Command.Stop(it.task, it.attempt, 0.0) }

    private fun mustStop(reported: ReportedTask) = reported.state != ReportedTaskState.EXITED && isEndedOrCancelled(reported.task.job)

    /** Whether the leader may end [job]: all records are known, it is over, and no task of it is assigned to anybody. */
    fun mayEnd(job: Job): Boolean =
        replica.state == ReplicaState.CURRENT && job.live != null && (job.complete || job.cancelled) && job.assignments().isEmpty()

    // ---- the last check on the way out ----

    /** Whether a message may go out to a worker now. */
    fun approveSending(what: String): Boolean {
        if (right.mayAct) return true
        violations.refused(Invariant.SENT_WITH_AUTHORITY, what)
        return false
    }

    /** The [commands] that may go out to [machine]: all of them, unless a path forgot to ask. */
    fun approveCommands(machine: MachineName, commands: List<Command>): List<Command> = commands.filter { command ->
        val refusal = if (command is Command.Start) refusalToStart(command.task) else null
        if (refusal != null) violations.refused(Invariant.START_PERMITTED, "task=${command.task} machine=$machine refusal=$refusal")
        refusal == null
    }

    /** The [commands] of an answer that renews the lease of [heartbeat]'s worker, with all the stops that it must carry. */
    fun approveAnswer(heartbeat: Heartbeat, commands: List<Command>): List<Command> {
        val stopped = commands.filterIsInstance<Command.Stop>().mapTo(HashSet()) { it.task to it.attempt }
        val missing = heartbeat.reportedTasks.filter { mustStop(it) && (it.task to it.attempt) !in stopped }
        if (missing.isEmpty()) return commands
        violations.refused(Invariant.ANSWER_STOPS_ENDED_TASKS, "machine=${heartbeat.machine} tasks=${missing.map { it.task }}")
        return missing.map { Command.Stop(it.task, it.attempt, 0.0) } + commands
    }

    /** Those of [jobs] that may be ended. */
    fun approveEnds(jobs: List<Job>): List<Job> = jobs.filter { job ->
        val allowed = mayEnd(job)
        if (!allowed) violations.refused(Invariant.ENDED_WITHOUT_ASSIGNMENTS, "job=${job.id}")
        allowed
    }
}
