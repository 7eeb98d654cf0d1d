package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId

/**
 * A range of a job's tasks, [Keys.TASKS_PER_RANGE] long, as the entries of packed records name it: `job-000412/0`.
 *
 * @property index the range's number in the job, from 0.
 */
data class TaskRange(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        // A range is named like a task: job and index.
        fun parse(text: String): TaskRange? = TaskId.parse(text)?.let { TaskRange(it.job, it.index) }
    }
}

/** The tasks of one job's range that are assigned to [shard]. */
data class ShardTaskRange(val index: Int, val shard: ShardName)
