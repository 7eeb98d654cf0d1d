package copperglade.coordination

import copperglade.protocol.JobId
import copperglade.protocol.TaskId

/**
 * The runs of a block, by task and, where that is asked for all the time, by state. With hundreds of runs on a hundred
 * machines, looking through all of them ten times a second for the few that wait was a tenth of a fleet day's processor.
 */
class RunTable {
    private val byJob = HashMap<JobId, HashMap<Int, Run>>()
    private val waitingRuns = LinkedHashSet<Run>()
    private val missingRuns = LinkedHashSet<Run>()

    /** Runs to be started. A copy: starting one changes the table. */
    val waiting: List<Run> get() = waitingRuns.toList()
    val missing: List<Run> get() = missingRuns.toList()

    operator fun get(task: TaskId): Run? = byJob[task.job]?.get(task.index)

    fun of(job: JobId): Collection<Run> = byJob[job]?.values.orEmpty()

    fun add(run: Run) {
        byJob.getOrPut(run.task.job) { HashMap() }.put(run.task.index, run)?.let(::unlist)
        enlist(run)
    }

    fun remove(run: Run) {
        unlist(run)
        val its = byJob[run.task.job] ?: return
        its.remove(run.task.index)
        if (its.isEmpty()) byJob.remove(run.task.job)
    }

    /** To be told of every change of a run's state. */
    fun moved(run: Run) {
        if (byJob[run.task.job]?.get(run.task.index) !== run) return
        unlist(run)
        enlist(run)
    }

    private fun enlist(run: Run) {
        if (run.state == RunState.WAITING) waitingRuns += run
        if (run.state == RunState.MISSING) missingRuns += run
    }

    private fun unlist(run: Run) {
        waitingRuns -= run
        missingRuns -= run
    }
}
