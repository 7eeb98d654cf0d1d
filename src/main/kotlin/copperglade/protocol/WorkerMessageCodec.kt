package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonToken

/** Paths and bodies of the messages between controllers and workers. */
object WorkerMessageCodec {
    /** Workers send heartbeats here, to controllers. */
    const val HEARTBEAT_PATH = "/checkin"

    /** Controllers send commands here, to workers. */
    const val COMMAND_PATH = "/do"

    /** Reads a heartbeat, or a worker's answer to commands; null where the bytes are none. */
    fun decodeHeartbeat(bytes: ByteArray): Heartbeat? = Decoding.orNull("heartbeat") {
        Json.parser(bytes).use { if (it.nextToken() == JsonToken.START_OBJECT) HeartbeatParser().parse(it) else null }
    }

    /** The body of the 200 to a heartbeat, which renews the worker's lease. */
    fun encodeHeartbeatReply(fencingToken: FencingToken, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            writeCommands(commands)
        }
    }

    /** The body of commands that are sent directly; a worker in another [epoch] refuses them. */
    fun encodeCommands(fencingToken: FencingToken, epoch: Long, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            writeNumberField("shift", epoch)
            writeCommands(commands)
        }
    }

    /** Redirects a worker to its shard's [owner]; without one it tries the next controller by itself. */
    fun encodeRedirect(owner: MemberId?): ByteArray = Json.write {
        writeJsonObject { owner?.let { writeStringField("dispatcher", it.text) } }
    }

    private fun JsonGenerator.writeCommands(commands: List<Command>) = writeJsonArray("dispatches") {
        for (command in commands) {
            writeJsonObject {
                writeStringField("order", command.wireName())
                writeStringField("box", command.task.toString())
                writeNumberField("trip", command.attempt.number)
                if (command is Command.Stop) writeNumberField("leewayS", command.graceSeconds)
            }
        }
    }

    private fun Command.wireName(): String = when (this) {
        is Command.Start -> "start"
        is Command.Stop -> "halt"
        is Command.Remove -> "reap"
    }
}
