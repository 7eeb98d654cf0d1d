package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonToken

/** Paths and bodies of the messages between controllers and workers. */
object WorkerMessageCodec {
    /** The path on controllers that workers send heartbeats to. */
    const val HEARTBEAT_PATH = "/checkin"

    /** The path on workers that controllers send commands to. */
    const val COMMAND_PATH = "/do"

    /** Decodes a heartbeat, or a worker's answer to commands, which has the same form; returns null where [bytes] are malformed. */
    fun decodeHeartbeat(bytes: ByteArray): Heartbeat? = Decoding.orNull("heartbeat") {
        Json.parser(bytes).use { if (it.nextToken() == JsonToken.START_OBJECT) HeartbeatParser().parse(it) else null }
    }

    /** The body of the 200 answer to a heartbeat, which renews the worker's lease. */
    fun encodeHeartbeatReply(fencingToken: FencingToken, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            writeCommands(commands)
        }
    }

    /** The body of commands sent directly, outside the answer to a heartbeat; a worker in another [epoch] refuses the commands. */
    fun encodeCommands(fencingToken: FencingToken, epoch: Long, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            writeNumberField("shift", epoch)
            writeCommands(commands)
        }
    }

    /** The body that redirects a worker to its shard's [owner]. Where [owner] is null, the worker tries the next controller. */
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
        is Command.Start, is Command.RequestHeartbeat -> "start"
        is Command.Stop -> "halt"
        is Command.Remove -> "reap"
    }
}
