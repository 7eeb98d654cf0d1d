package copperglade.coordination

import copperglade.protocol.BoxState
import copperglade.protocol.Command
import copperglade.protocol.JobId
import copperglade.protocol.Report
import copperglade.storage.Replica

/**
 * No worker's lease is renewed without its being told to end what is known to be cancelled: each answer to a report carries
 * the halts for the cancelled tasks that the report shows. Either it arrives, and they end; or it doesn't, and the lease goes
 * on running. So whatever else holds commands up (a block not open yet, a machine not fenced yet, a direct way that is
 * broken, a right to act that has run out), a cancelled task is gone a lease after the last answer that was given without
 * knowing of the cancellation, and that is bounded by the age of knowledge. Halts can be repeated and are right under any
 * owner, since a cancellation is final.
 */
class CancelledWork(private val replica: Replica) {
    fun haltsFor(report: Report): List<Command> = report.boxes
        .filter { it.state != BoxState.EXITED && isCancelled(it.task.job) }
        .map { Command.Halt(it.task, it.trip, 0.0) }

    fun isCancelled(job: JobId): Boolean = replica.jobs[job]?.cancelled ?: false
}
