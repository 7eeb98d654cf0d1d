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

/** The reason for which an action is currently refused. */
enum class Refusal {
    /** Neither the session lease nor the endorsements are valid, or the records are incomplete or too stale to act on. */
    NO_AUTHORITY,

    /** The records are too stale to start tasks. */
    STALE_SNAPSHOT,

    /** The job is not live, and no end record of the job is cached. */
    UNKNOWN_JOB,

    /** The job has an end record: it is done, or was cancelled and has been ended. */
    JOB_ENDED,

    /** The job is live and carries the cancelled mark. */
    JOB_CANCELLED,

    /** A dependency of the job is not done. */
    JOB_BLOCKED,

    /** The task is done already. */
    TASK_DONE,
}

/**
 * Decides whether a task may be started, which tasks must be stopped, and whether a job may be ended. The decision is based on the
 * replica's current records and on the authority to act. All code paths check here, and each message to a worker is checked again
 * immediately before it is sent ([approveDirectCommands], [approveCommands], [approveAnswer]).
 *
 * Guards against actions based on stale decisions or on another controller's unchecked claims. For example, a leader of an earlier version
 * assigns tasks of jobs whose dependencies are not done. A shard owner that started every assigned task would break the dependency order.
 */
class ActionGuard(
    private val replica: Replica,
    private val authority: ActionAuthority,
    private val violations: InvariantViolations,
) {
    private data class TaskAttempt(val task: TaskId, val attempt: Attempt)

    /** Returns the reason why [task] must not be started now, or null if the task may be started. */
    fun refusalToStart(task: TaskId): Refusal? = when {
        !authority.mayAct -> Refusal.NO_AUTHORITY
        !authority.mayStartTasks -> Refusal.STALE_SNAPSHOT
        else -> refusalByRecords(task)
    }

    /** Returns the reason why the records forbid every controller to start [task], or null if the records allow the start. */
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

    /** Whether the live record or the end record of [job] shows that the job is cancelled. */
    fun isCancelled(job: JobId): Boolean = liveJob(job)?.cancelled ?: (replica.endRecordOf(job)?.status == JobStatus.CANCELLED)

    /** Whether [job] is cancelled, or has ended with any status, so that none of its tasks may continue to run. */
    fun isEndedOrCancelled(job: JobId): Boolean = liveJob(job)?.cancelled ?: (replica.endRecordOf(job) != null)

    private fun liveJob(id: JobId): Job? = replica.jobs[id]?.takeIf { it.live != null }

    /**
     * Returns the stop commands that each answer to [heartbeat] must contain: one for every reported task that must not continue to run.
     *
     * No worker's lease is renewed without these commands. Either the answer arrives and the worker stops the tasks, or the answer is lost
     * and the lease continues to expire. A cancelled task is therefore terminated at the latest one worker lease after the last answer that
     * was based on records from before the cancellation; the age of those records is bounded.
     *
     * This holds no matter what else delays commands: a shard that is not open yet, a machine that is not fenced yet, a broken connection
     * or an expired authority to act. Stop commands are idempotent and valid under any shard owner, because the end of a job is final.
     */
    fun requiredStops(heartbeat: Heartbeat): List<Command.Stop> = heartbeat.reportedTasks.filter(::mustStop).map(::stopOf)

    private fun mustStop(reported: ReportedTask) = reported.state != ReportedTaskState.EXITED && isEndedOrCancelled(reported.task.job)

    private fun stopOf(reported: ReportedTask) = Command.Stop(reported.task, reported.attempt, graceSeconds = 0.0)

    /** Whether the leader may end [job]: the replica is current, the job is complete or cancelled, and none of its tasks is assigned. */
    fun mayEnd(job: Job): Boolean =
        replica.state == ReplicaState.CURRENT && job.live != null && (job.complete || job.cancelled) && job.assignments().isEmpty()

    /** Whether a message may be sent to a worker now. If not, a violation is recorded with [detail], which identifies the message. */
    fun approveSending(detail: String): Boolean {
        if (authority.mayAct) return true
        violations.record(Invariant.SENT_WITH_AUTHORITY, detail)
        return false
    }

    /**
     * Returns those of [commands] that may be sent to [machine] directly, which excludes starts: a direct message may be executed again at
     * any later time while the worker's token and epoch match, also by a restarted worker. A repeated stop, removal or heartbeat request
     * has no effect on any other attempt.
     */
    fun approveDirectCommands(machine: MachineName, commands: List<Command>): List<Command> = commands.filter { command ->
        val allowed = command !is Command.Start
        if (!allowed) violations.record(Invariant.START_WITH_RESPONSE, "task=${command.task} machine=$machine")
        allowed
    }

    /** Returns those of [commands] that may be sent to [machine] with a heartbeat response: all of them, unless a code path has omitted the earlier check. */
    fun approveCommands(machine: MachineName, commands: List<Command>): List<Command> = commands.filter { command ->
        val refusal = if (command is Command.Start) refusalToStart(command.task) else null
        if (refusal != null) violations.record(Invariant.START_PERMITTED, "task=${command.task} machine=$machine refusal=$refusal")
        refusal == null
    }

    /** Returns [commands] plus any missing [requiredStops], for an answer that renews the lease of [heartbeat]'s worker. */
    fun approveAnswer(heartbeat: Heartbeat, commands: List<Command>): List<Command> {
        val stopped = commands.filterIsInstance<Command.Stop>().mapTo(HashSet()) { TaskAttempt(it.task, it.attempt) }
        val missing = heartbeat.reportedTasks.filter { mustStop(it) && TaskAttempt(it.task, it.attempt) !in stopped }
        if (missing.isEmpty()) return commands
        violations.record(Invariant.ANSWER_STOPS_ENDED_TASKS, "machine=${heartbeat.machine} tasks=${missing.map { it.task }}")
        return missing.map(::stopOf) + commands
    }

    /** Returns those of [jobs] that may be ended. */
    fun approveEnds(jobs: List<Job>): List<Job> = jobs.filter { job ->
        val allowed = mayEnd(job)
        if (!allowed) violations.record(Invariant.ENDED_WITHOUT_ASSIGNMENTS, "job=${job.id}")
        allowed
    }
}
