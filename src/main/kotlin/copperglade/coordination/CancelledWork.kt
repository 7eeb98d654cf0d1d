package copperglade.coordination

import copperglade.protocol.Command
import copperglade.protocol.JobId
import copperglade.protocol.Report
import copperglade.protocol.ReportedTaskState
import copperglade.storage.Replica

/**
 * No worker's lease is renewed without its being told to end what is known to be cancelled: each answer to a report
 * carries the stop commands for the cancelled tasks that the report shows. Either it arrives, and they end; or it
 * doesn't, and the lease goes on running. So whatever else holds commands up (a block not open yet, a machine not
 * fenced yet, a direct way that is broken, a right to act that has run out), a cancelled task is gone a lease after the
 * last answer that was given without knowing of the cancellation, and that is bounded by the age of knowledge. Stop
 * commands can be repeated and are right under any owner, since a cancellation is final.
 */
class CancelledWork(private val replica: Replica) {
    fun stopsFor(report: Report): List<Command> = report.reportedTasks
        .filter { it.state != ReportedTaskState.EXITED && isCancelled(it.task.job) }
        .map { Command.Stop(it.task, it.attempt, 0.0) }

    fun isCancelled(job: JobId): Boolean = replica.jobs[job]?.cancelled ?: false
}
