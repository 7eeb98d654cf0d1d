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
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds

/** A worker's reply to a direct command, or its absence. */
sealed interface CommandReply {
    /** No reply arrived before the timeout: the commands may have been executed, or may be executed later. */
    data object TimedOut : CommandReply

    /** The worker replied with the HTTP [status]. */
    class Answered(val status: Int, private val body: ByteArray) : CommandReply {
        /** Returns the worker's state, or null if the body can't be decoded. */
        fun readHeartbeat(): Heartbeat? = WorkerMessageCodec.decodeHeartbeat(body)
    }
}

/** Sends commands to workers over HTTP. [ActionGuard] checks the commands and [ActionAudit] records them. */
class WorkerClient(private val http: HttpClient, private val guard: ActionGuard, private val audit: ActionAudit) {
    /** Returns those of the [planned] commands that may be sent directly to [machine], and records them as sent under [token] for [epoch]. */
    fun approve(machine: MachineName, epoch: Long, token: FencingToken, planned: List<Command>): List<Command> {
        val commands = guard.approveDirectCommands(machine, planned)
        audit.recordCommands(machine, epoch, token, commands, channel = "direct")
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
     * Requests the state of the worker at [endpoint], which may be a removed machine's, by a message without commands. If nothing may be
     * sent now, [onReply] immediately receives [CommandReply.TimedOut].
     */
    fun probe(endpoint: Endpoint, token: FencingToken, epoch: Long, onReply: (CommandReply) -> Unit) {
        if (!guard.approveSending("probe of $endpoint")) return onReply(CommandReply.TimedOut)
        send(endpoint, token, epoch, emptyList(), onReply)
    }

    private companion object {
        val COMMAND_TIMEOUT = 1500.milliseconds
    }
}
