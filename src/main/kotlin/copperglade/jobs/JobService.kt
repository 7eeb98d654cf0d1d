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
 * Handles user requests: submissions, polls and cancellations.
 *
 * A reply reports only durable state of a job, which no later reply of any controller contradicts. Where a controller can't guarantee
 * that in time, it replies 503 with `Retry-After`. Every request is idempotent and may be repeated with any controller.
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
     * Replies to a submission with the job's status: 201 once the job is durable, 200 if the job was accepted before, even if the
     * repeated submission differs; 400 or 422 with the name of the rejected field.
     */
    fun submit(body: ByteArray, responder: Responder) = submissions.submit(body, responder)

    /** Replies with the job's status and the counts of its tasks, or 404 if the job was never accepted. */
    fun poll(id: JobId, responder: Responder) = statusReader.read(id) { result ->
        responder.send(
            when (result) {
                is JobStatusResult.Found -> Reply(HttpStatus.OK, UserApiCodec.encodeSummary(result.summary))
                JobStatusResult.NeverAccepted -> JobReplies.unknownJob()
                JobStatusResult.Unavailable -> JobReplies.unavailable()
            },
        )
    }

    /** Replies with the job's final status once its cancellation or its earlier end is durable, or 404 if the job was never accepted. */
    fun cancel(id: JobId, responder: Responder) = cancellations.cancel(id, responder)
}
