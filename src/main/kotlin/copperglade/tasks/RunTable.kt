package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.TaskId
import copperglade.storage.Keys
import copperglade.storage.TaskRange

/**
 * The runs of a shard by task, with an index of the waiting and the missing runs, which are read several times a second and are few
 * among all runs.
 */
class RunTable {
    /** By job, then by task range of its records, then by task index. */
    private val byJob = HashMap<JobId, HashMap<Int, HashMap<Int, Run>>>()
    private val waitingRuns = LinkedHashSet<Run>()
    private val missingRuns = LinkedHashSet<Run>()

    /** Runs in the state [RunState.WAITING]. A copy, since starting one changes the table. */
    val waiting: List<Run> get() = waitingRuns.toList()

    /** Runs in the state [RunState.MISSING]. A copy, since releasing one changes the table. */
    val missing: List<Run> get() = missingRuns.toList()

    /** Returns the run of [task], or null if the task isn't assigned to the shard. */
    operator fun get(task: TaskId): Run? = byJob[task.job]?.get(rangeIndexOf(task))?.get(task.index)

    /** Returns all runs of [job]. */
    fun ofJob(job: JobId): List<Run> = byJob[job]?.values.orEmpty().flatMap { it.values }

    /** Returns the runs of the tasks in [range]. Outcomes are written by task range. */
    fun inRange(range: TaskRange): Collection<Run> = byJob[range.job]?.get(range.index)?.values.orEmpty()

    /** Adds [run], and removes the previous run of the same task if there is one. */
    fun add(run: Run) {
        val ranges = byJob.getOrPut(run.task.job) { HashMap() }
        ranges.getOrPut(rangeIndexOf(run.task)) { HashMap() }.put(run.task.index, run)?.let(::removeFromIndex)
        addToIndex(run)
    }

    fun remove(run: Run) {
        removeFromIndex(run)
        val ranges = byJob[run.task.job] ?: return
        val range = ranges[rangeIndexOf(run.task)] ?: return
        range.remove(run.task.index)
        if (range.isEmpty()) ranges.remove(rangeIndexOf(run.task))
        if (ranges.isEmpty()) byJob.remove(run.task.job)
    }

    private fun rangeIndexOf(task: TaskId) = task.index / Keys.TASKS_PER_RANGE

    /** Updates the index. Must be called after every state transition of [run]; a run that is not in the table is ignored. */
    fun onStateChanged(run: Run) {
        if (get(run.task) !== run) return
        removeFromIndex(run)
        addToIndex(run)
    }

    private fun addToIndex(run: Run) {
        if (run.state == RunState.WAITING) waitingRuns += run
        if (run.state == RunState.MISSING) missingRuns += run
    }

    private fun removeFromIndex(run: Run) {
        waitingRuns -= run
        missingRuns -= run
    }
}
