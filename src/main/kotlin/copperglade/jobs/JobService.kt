package copperglade.jobs

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.JobId
import copperglade.protocol.TeamName
import copperglade.protocol.UserApiCodec
import copperglade.settings.Team
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.transport.EventLoop
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Responder

/**
 * Answers users: submissions, polls and cancellations.
 *
 * Nothing is told of a job that isn't durable, or that any later answer, of whichever controller, could contradict. Where that can't be
 * promised in time, the answer is 503 with `Retry-After`. Every request is idempotent and may be repeated with any controller.
 */
class JobService(
    loop: EventLoop,
    store: StateClient,
    replica: Replica,
    types: MachineTypeCatalog,
    teams: Map<TeamName, Team>,
    cancellationBroadcast: CancellationBroadcast,
) {
    private val statusReader = JobStatusReader(loop, replica)
    private val submissions =
        SubmissionHandler(loop, store, replica, types, AdmissionCheck(loop, types, teams, store.limits), statusReader)
    private val cancellations = CancellationHandler(store, replica, statusReader, cancellationBroadcast)

    /**
     * Answers a submission with the job's status: 201 once it is durable, 200 where it was accepted before, whatever else the repeat
     * says; 400 or 422 names the field that is refused.
     */
    fun submit(body: ByteArray, responder: Responder) = submissions.submit(body, responder)

    /** Answers with the job's status and the counts of its tasks, or 404 where it was never accepted. */
    fun poll(id: JobId, responder: Responder) = statusReader.read(id) { result ->
        responder.send(
            when (result) {
                is JobStatusResult.Found -> Reply(HttpStatus.OK, UserApiCodec.encodeSummary(result.summary))
                JobStatusResult.NeverAccepted -> JobReplies.unknownJob()
                JobStatusResult.Unavailable -> JobReplies.unavailable()
            },
        )
    }

    /** Answers with the job's final status once its cancellation, or its earlier end, is durable; 404 where it was never accepted. */
    fun cancel(id: JobId, responder: Responder) = cancellations.cancel(id, responder)
}
