package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.MachineType
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.protocol.Resources
import copperglade.protocol.TaskId
import kotlin.time.Duration.Companion.milliseconds

/** The load of a machine: the runs bound to it, the tasks that its worker reports, and the capacity that remains free. */
class MachineLoad {
    private val runsByAttempt = LinkedHashMap<Attempt, Run>()

    /** The runs bound to the machine, in the order in which they were bound. */
    val runs: Collection<Run> get() = runsByAttempt.values

    /** The tasks in the newest accepted heartbeat or reply. */
    var reportedTasks: List<ReportedTask> = emptyList()
        private set

    private var freeComputedAt = MonotonicTime.NEVER
    private var cachedFree = Resources.ZERO

    /** Whether no run is bound to the machine and its worker reports no task, not even an exited one. */
    val isEmpty: Boolean get() = runsByAttempt.isEmpty() && reportedTasks.isEmpty()

    fun attach(run: Run) {
        runsByAttempt[run.attempt] = run
        invalidateFreeCapacity()
    }

    fun detach(run: Run) {
        runsByAttempt.remove(run.attempt)
        invalidateFreeCapacity()
    }

    /** Replaces the tasks that the worker reports. */
    fun updateReportedTasks(tasks: List<ReportedTask>) {
        reportedTasks = tasks
        invalidateFreeCapacity()
    }

    /** Returns the run bound to the machine of which [reportedTask] is an attempt, or null if there is none. */
    fun runOf(reportedTask: ReportedTask): Run? = runsByAttempt[reportedTask.attempt]?.takeIf { it.task == reportedTask.task }

    /** Returns the worker's report of [attempt] at [task], or null if the worker doesn't report the attempt. */
    fun reportedTask(task: TaskId, attempt: Attempt): ReportedTask? =
        reportedTasks.firstOrNull { it.attempt == attempt && it.task == task }

    /** Must be called when a run bound to the machine has changed its state. */
    fun invalidateFreeCapacity() {
        freeComputedAt = MonotonicTime.NEVER
    }

    /**
     * Returns the capacity of a machine of [type] that is free for further tasks. Starts in flight count as taken.
     *
     * The result is cached until the machine's load changes, and for [FREE_CAPACITY_TTL] at most, since the requests of tasks without a
     * run come from records that may change meanwhile.
     */
    fun freeCapacity(type: MachineType, now: MonotonicTime, requestOf: (TaskId) -> Resources?): Resources {
        if (now >= freeComputedAt + FREE_CAPACITY_TTL) {
            cachedFree = computeFreeCapacity(type, requestOf)
            freeComputedAt = now
        }
        return cachedFree
    }

    private fun computeFreeCapacity(type: MachineType, requestOf: (TaskId) -> Resources?): Resources {
        var free = type.capacity
        for (run in runs) if (run.occupiesMachine) free -= run.spec.request
        for (reportedTask in reportedTasks) {
            if (reportedTask.state == ReportedTaskState.EXITED || runOf(reportedTask) != null) continue
            // The request of a task whose job has ended is unknown: the task counts as using the whole machine.
            free -= requestOf(reportedTask.task) ?: type.capacity
        }
        return free
    }

    private companion object {
        val FREE_CAPACITY_TTL = 500.milliseconds
    }
}
