package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId

/**
 * A range of [Keys.TASKS_PER_RANGE] tasks of a job. Its text form, such as `job-000412/0`, names the entries of packed records.
 *
 * @property index the position of the range in the job, from 0.
 */
data class TaskRange(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        // A task range has the same text form as a task id: job and index.
        fun parse(text: String): TaskRange? = TaskId.parse(text)?.let { TaskRange(it.job, it.index) }
    }
}

/** The part of a job's task range that is assigned to [shard]; [index] is the index of the range. */
data class ShardTaskRange(val index: Int, val shard: ShardName)
