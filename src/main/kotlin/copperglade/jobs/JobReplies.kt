package copperglade.jobs

import copperglade.protocol.InvalidField
import copperglade.protocol.JobSummary
import copperglade.protocol.UserApiCodec
import copperglade.transport.HttpStatus
import copperglade.transport.Reply

/** Replies to users that several kinds of requests share. */
object JobReplies {
    /** The controller can't give a durable answer at present: the user repeats the request with any controller. */
    fun unavailable() = Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("not now, ask again"), retryAfterSeconds = 1)

    /** The status of a job that was accepted before the request. */
    internal fun status(summary: JobSummary) = Reply(HttpStatus.OK, UserApiCodec.encodeStatus(summary.id, summary.status))

    internal fun badRequest(error: InvalidField) =
        Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("${error.field}: ${error.problem}", error.field))

    internal fun unprocessable(problem: String) = Reply(HttpStatus.UNPROCESSABLE_CONTENT, UserApiCodec.encodeError(problem))

    internal fun tooLarge(field: String) = badRequest(InvalidField(field, "too large to be stored"))

    internal fun unknownJob() = Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such job"))
}
