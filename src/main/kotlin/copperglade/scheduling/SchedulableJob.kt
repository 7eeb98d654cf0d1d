package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.Priority
import copperglade.storage.Assignment
import copperglade.storage.Job

/** Whether jobs of this priority are scheduled in urgent rounds, ahead of the batch window of other jobs. */
internal val JobSpec.isUrgent: Boolean get() = priority <= Priority.HIGH

/**
 * An accepted job that a scheduling round considers.
 *
 * @property assigned the tasks that were assigned when the round began.
 * @property isGuaranteed whether the guarantee of the job's team covers it.
 */
internal class SchedulableJob(
    val job: Job,
    val spec: JobSpec,
    val acceptedAtMillis: Long,
    val assigned: List<Assignment>,
    val isGuaranteed: Boolean,
) {
    val deadline = job.deadline
    val isUrgent get() = spec.isUrgent
    val wantedTasks get() = job.wantedTasks
    val unassignedTasks get() = job.wantedTasks - assigned.size
}
