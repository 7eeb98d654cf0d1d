package copperglade.controller

import copperglade.jobs.JobReplies
import copperglade.jobs.JobService
import copperglade.observability.RequestLatency
import copperglade.ownership.HeartbeatRouter
import copperglade.protocol.JobId
import copperglade.protocol.UserApiCodec
import copperglade.protocol.WorkerMessageCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder

/** Routes the requests of users, workers and the load balancer's health checks. */
internal class ClientRouter(
    private val replica: Replica,
    private val jobService: JobService,
    private val heartbeatRouter: HeartbeatRouter,
    private val healthCheck: HealthCheck,
    private val submissionLatency: RequestLatency,
    private val pollLatency: RequestLatency,
) : RequestHandler {
    override fun handle(request: Request, responder: Responder) {
        val path = request.path.substringBefore('?')
        when {
            path == WorkerMessageCodec.HEARTBEAT_PATH -> requireMethod(Method.POST, request, responder) {
                handleHeartbeat(request, responder)
            }
            path == UserApiCodec.JOBS_PATH -> requireMethod(Method.POST, request, responder) {
                jobService.submit(request.body, submissionLatency.timed(responder))
            }
            path == UserApiCodec.HEALTH_PATH -> requireMethod(Method.GET, request, responder) { responder.send(health()) }
            path.startsWith(JOB_PREFIX) -> handleJob(request, path.removePrefix(JOB_PREFIX), responder)
            else -> responder.send(Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such path")))
        }
    }

    private fun handleJob(request: Request, subpath: String, responder: Responder) {
        val cancelling = subpath.endsWith(CANCEL_SUFFIX)
        val id = JobId.parse(subpath.removeSuffix(CANCEL_SUFFIX))
        when {
            id == null -> responder.send(Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such job")))
            cancelling -> requireMethod(Method.POST, request, responder) { jobService.cancel(id, responder) }
            else -> requireMethod(Method.GET, request, responder) { jobService.poll(id, pollLatency.timed(responder)) }
        }
    }

    private fun requireMethod(method: Method, request: Request, responder: Responder, action: () -> Unit) {
        if (request.method == method) return action()
        responder.send(Reply(HttpStatus.METHOD_NOT_ALLOWED, UserApiCodec.encodeError("method not allowed here")))
    }

    private fun handleHeartbeat(request: Request, responder: Responder) {
        val heartbeat = WorkerMessageCodec.decodeHeartbeat(request.body)
        val reply = when {
            heartbeat == null -> Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("not a worker's report"))
            replica.state != ReplicaState.CURRENT -> JobReplies.unavailable()
            else -> heartbeatRouter.handle(heartbeat)
        }
        responder.send(reply)
    }

    private fun health(): Reply =
        if (healthCheck.isHealthy()) Reply(HttpStatus.OK) else Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("not ready"))

    private companion object {
        const val JOB_PREFIX = "${UserApiCodec.JOBS_PATH}/"
        const val CANCEL_SUFFIX = "/${UserApiCodec.CANCEL_SUFFIX}"
    }
}
