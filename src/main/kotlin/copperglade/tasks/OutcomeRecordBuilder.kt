package copperglade.tasks

import copperglade.storage.AssignmentRange
import copperglade.storage.Job
import copperglade.storage.OutcomeRecord
import copperglade.storage.ShardTaskRange
import copperglade.storage.TaskRange
import java.util.BitSet

/** Builds the outcome records of a shard's tasks from the current records and the shard's runs. */
internal class OutcomeRecordBuilder(private val shard: ShardState, private val failingJobs: FailingJobs) {
    /** The outcomes of one task range: those of the current record and those collected from runs. */
    private class Draft(current: OutcomeRecord) {
        val done = current.done.clone() as BitSet
        val restarted = current.restarted.clone() as BitSet
        val returned = current.returned.mapValuesTo(HashMap()) { (_, tasks) -> tasks.clone() as BitSet }
        var changed = false
            private set

        fun add(run: Run, jobIsCancelled: Boolean) {
            val isReturned = run.state == RunState.GONE || (run.state == RunState.DONE && jobIsCancelled)
            if (run.state == RunState.DONE && !isReturned) set(done, run)
            if (isReturned) set(returned.getOrPut(run.generation) { BitSet() }, run)
            if (run.restarted) set(restarted, run)
        }

        private fun set(tasks: BitSet, run: Run) {
            changed = changed || !tasks.get(run.task.index)
            tasks.set(run.task.index)
        }
    }

    /** Returns the new record of [job]'s tasks in the range [rangeIndex], or null if the current record needs no change. */
    fun update(job: Job, rangeIndex: Int): OutcomeRecord? {
        val current = job.outcomes[ShardTaskRange(rangeIndex, shard.name)]?.value ?: OutcomeRecord.EMPTY
        val draft = Draft(current)
        for (run in shard.runs.inRange(TaskRange(job.id, rangeIndex))) draft.add(run, job.cancelled)
        val failing = draft.done.isEmpty && (current.failing || job.id in failingJobs)
        if (!draft.changed && failing == current.failing) return null
        val returned = retainAssigned(draft.returned, job.assignmentRanges[rangeIndex]?.value)
        return OutcomeRecord(draft.done, returned, draft.restarted, current.version + 1, failing)
    }

    /** Keeps those of the [returned] tasks whose assignment is still in the leader's record [range]; the others are obsolete. */
    private fun retainAssigned(returned: Map<Int, BitSet>, range: AssignmentRange?): Map<Int, BitSet> {
        val needed = HashMap<Int, BitSet>()
        for (group in range?.groups.orEmpty()) {
            if (group.shard != shard.name) continue
            val tasks = (returned[group.generation] ?: continue).clone() as BitSet
            tasks.and(group.tasks)
            if (!tasks.isEmpty) needed[group.generation] = tasks
        }
        return needed
    }
}
