package copperglade.agents

import copperglade.observability.ActionAudit
import copperglade.protocol.Command
import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.MachineName
import copperglade.protocol.WorkerMessageCodec
import copperglade.safety.ActionGuard
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds

/** How a worker answered a direct command. */
sealed interface CommandReply {
    /** No answer came in time: the commands may have been executed, or may yet be. */
    data object TimedOut : CommandReply

    /** The worker answered with [status]. */
    class Answered(val status: Int, private val body: ByteArray) : CommandReply {
        /** Whether the message was executed or refused for good, so that no copy of it can take effect later. */
        val isFinal: Boolean get() = status == HttpStatus.OK || status == HttpStatus.CONFLICT

        /** The worker's state, or null where the answer can't be read. */
        fun readHeartbeat(): Heartbeat? = WorkerMessageCodec.decodeHeartbeat(body)
    }
}

/** Sends commands to workers by HTTP, checked by the [ActionGuard] and recorded in the [ActionAudit]. */
class WorkerClient(private val http: HttpClient, private val guard: ActionGuard, private val audit: ActionAudit) {
    /** Those of [planned] that may be sent to [machine] directly, recorded as sent under [token]. */
    fun approve(machine: MachineName, token: FencingToken, planned: List<Command>): List<Command> {
        val commands = guard.approveCommands(machine, planned)
        audit.recordCommands(machine, token, commands, channel = "direct")
        return commands
    }

    /** Sends approved [commands] under [token] to the worker at [endpoint], for its agent epoch [epoch]. */
    fun send(endpoint: Endpoint, token: FencingToken, epoch: Long, commands: List<Command>, onReply: (CommandReply) -> Unit) {
        val request = Request(Method.POST, WorkerMessageCodec.COMMAND_PATH, WorkerMessageCodec.encodeCommands(token, epoch, commands))
        http.call(endpoint, request, COMMAND_TIMEOUT) { reply ->
            onReply(reply?.let { CommandReply.Answered(it.status, it.body) } ?: CommandReply.TimedOut)
        }
    }

    /**
     * Asks the worker at [endpoint], about which nothing is known for certain, for its state. [onReply] gets
     * [CommandReply.TimedOut], at once, where nothing may be sent now.
     */
    fun probe(endpoint: Endpoint, token: FencingToken, epoch: Long, onReply: (CommandReply) -> Unit) {
        if (!guard.approveSending("probe of $endpoint")) return onReply(CommandReply.TimedOut)
        send(endpoint, token, epoch, emptyList(), onReply)
    }

    private companion object {
        val COMMAND_TIMEOUT = 1500.milliseconds
    }
}
