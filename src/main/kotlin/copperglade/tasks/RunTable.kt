package copperglade.tasks

import copperglade.protocol.JobId
import copperglade.protocol.TaskId
import copperglade.storage.Keys
import copperglade.storage.TaskRange

/**
 * The runs of a shard, by task and, where that is asked for all the time, by state. With hundreds of runs on a hundred
 * machines, looking through all of them ten times a second for the few that wait was a tenth of a fleet day's processor.
 */
class RunTable {
    /** By job, then by page of its records, then by task. */
    private val byJob = HashMap<JobId, HashMap<Int, HashMap<Int, Run>>>()
    private val waitingRuns = LinkedHashSet<Run>()
    private val missingRuns = LinkedHashSet<Run>()

    /** Runs to be started. A copy: starting one changes the table. */
    val waiting: List<Run> get() = waitingRuns.toList()
    val missing: List<Run> get() = missingRuns.toList()

    operator fun get(task: TaskId): Run? = byJob[task.job]?.get(pageOf(task))?.get(task.index)

    fun of(job: JobId): List<Run> = byJob[job]?.values.orEmpty().flatMap { it.values }

    /** The runs of the tasks on one page of a job's records: outcomes are written page by page. */
    fun of(place: TaskRange): Collection<Run> = byJob[place.job]?.get(place.index)?.values.orEmpty()

    fun add(run: Run) {
        val pages = byJob.getOrPut(run.task.job) { HashMap() }
        pages.getOrPut(pageOf(run.task)) { HashMap() }.put(run.task.index, run)?.let(::removeFromIndex)
        addToIndex(run)
    }

    fun remove(run: Run) {
        removeFromIndex(run)
        val pages = byJob[run.task.job] ?: return
        val page = pages[pageOf(run.task)] ?: return
        page.remove(run.task.index)
        if (page.isEmpty()) pages.remove(pageOf(run.task))
        if (pages.isEmpty()) byJob.remove(run.task.job)
    }

    private fun pageOf(task: TaskId) = task.index / Keys.TASKS_PER_RANGE

    /** To be told of every change of a run's state. */
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
