package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

enum class ReportedTaskState(val wireName: String) {
    FETCHING("pulling"),

    /** Only gangs wait for their mates; read so that a newer worker is understood. */
    WAITING("waiting"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended"),
}

enum class ExitCause(val wireName: String) {
    DONE("done"),
    STOPPED("halted"),
    ERROR("error"),
    NO_CAPACITY("full"),
    BUSY("busy"),
    UNKNOWN_JOB("no_such"),
    OTHER("other"),
}

/** A task on a machine, as its worker reports it. */
data class ReportedTask(val task: TaskId, val attempt: Attempt, val state: ReportedTaskState, val cause: ExitCause?)

/** A worker's report. */
class Heartbeat(
    val machine: MachineName,
    val endpoint: Endpoint,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val epoch: Long,
    val sequenceNumber: Long,
    val fencingToken: FencingToken,
    val evictionNoticeSeconds: Double?,
    val reportedTasks: List<ReportedTask>,
) {
    fun newerThan(otherEpoch: Long, otherSequenceNumber: Long): Boolean =
        epoch > otherEpoch || (epoch == otherEpoch && sequenceNumber > otherSequenceNumber)
}

sealed interface Command {
    val task: TaskId
    val attempt: Attempt

    data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    data class Stop(override val task: TaskId, override val attempt: Attempt, val graceSeconds: Double) : Command

    data class Remove(override val task: TaskId, override val attempt: Attempt) : Command
}

object WorkerMessageCodec {
    const val HEARTBEAT_PATH = "/checkin"
    const val COMMAND_PATH = "/do"

    /**
     * Reads a report without building a tree of it: hundreds come every second, and building trees was a fifth of what
     * each of them cost. Null where it is none.
     */
    fun decodeHeartbeat(bytes: ByteArray): Heartbeat? = Decoding.orNull("report") {
        Json.parser(bytes).use { if (it.nextToken() == JsonToken.START_OBJECT) HeartbeatDraft().read(it) else null }
    }

    /** A report as far as it has been read. */
    private class HeartbeatDraft {
        private var machine: String? = null
        private var endpoint: Endpoint? = null
        private var type: String? = null
        private var zone: String? = null
        private var spot: Boolean? = null
        private var epoch: Long? = null
        private var sequenceNumber: Long? = null
        private var fencingToken = 0L
        private var evictionNoticeSeconds: Double? = null
        private var reportedTasks: List<ReportedTask>? = emptyList()

        fun read(parser: JsonParser): Heartbeat? {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                val name = parser.currentName()
                parser.nextToken()
                when (name) {
                    "truck" -> machine = parser.words()
                    "addr" -> endpoint = parser.words()?.let { Endpoint.parse(it) }
                    "fleet" -> type = parser.words()
                    "depot" -> zone = parser.words()
                    "borrowed" -> spot = parser.flag()
                    "shift" -> epoch = parser.whole()
                    "tally" -> sequenceNumber = parser.whole()
                    "baton" -> fencingToken = parser.whole() ?: 0
                    "recallS" -> evictionNoticeSeconds = parser.amount()
                    "boxes" -> reportedTasks = readReportedTasks(parser)
                    else -> parser.skipChildren()
                }
            }
            return heartbeat()
        }

        private fun heartbeat(): Heartbeat? {
            return Heartbeat(
                machine = MachineName(machine ?: return null),
                endpoint = endpoint ?: return null,
                type = type ?: return null,
                zone = zone ?: return null,
                spot = spot ?: return null,
                epoch = epoch ?: return null,
                sequenceNumber = sequenceNumber ?: return null,
                fencingToken = FencingToken(fencingToken),
                evictionNoticeSeconds = evictionNoticeSeconds,
                reportedTasks = reportedTasks ?: return null,
            )
        }

        private fun readReportedTasks(parser: JsonParser): List<ReportedTask>? {
            if (parser.currentToken() == JsonToken.VALUE_NULL) return emptyList()
            if (parser.currentToken() != JsonToken.START_ARRAY) return null.also { parser.skipChildren() }
            val read = ArrayList<ReportedTask>()
            var sound = true
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                val isObject = parser.currentToken() == JsonToken.START_OBJECT
                val reportedTask = if (isObject) readReportedTask(parser) else null.also { parser.skipChildren() }
                if (reportedTask == null) sound = false else read += reportedTask
            }
            return read.takeIf { sound }
        }

        private fun readReportedTask(parser: JsonParser): ReportedTask? {
            var task: TaskId? = null
            var attempt: Long? = null
            var status: String? = null
            var cause: String? = null
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                val name = parser.currentName()
                parser.nextToken()
                when (name) {
                    "box" -> task = parser.words()?.let { TaskId.parse(it) }
                    "trip" -> attempt = parser.whole()
                    "status" -> status = parser.words()
                    "cause" -> cause = parser.words()
                    else -> parser.skipChildren()
                }
            }
            return ReportedTask(
                task = task ?: return null,
                attempt = Attempt(attempt ?: return null),
                state = ReportedTaskState.entries.firstOrNull { it.wireName == status } ?: return null,
                cause = cause?.let { ExitCause.entries.firstOrNull { known -> known.wireName == cause } ?: ExitCause.OTHER },
            )
        }

        private fun JsonParser.words(): String? = if (currentToken() == JsonToken.VALUE_STRING) text else other()

        private fun JsonParser.whole(): Long? = if (currentToken() == JsonToken.VALUE_NUMBER_INT) longValue else other()

        private fun JsonParser.amount(): Double? = if (currentToken().isNumeric) doubleValue else other()

        private fun JsonParser.flag(): Boolean? = if (currentToken().isBoolean) booleanValue else other()

        /** A value of another kind than the field should have. */
        private fun JsonParser.other(): Nothing? {
            skipChildren()
            return null
        }
    }

    fun encodeHeartbeatReply(fencingToken: FencingToken, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            commands(commands)
        }
    }

    fun encodeCommands(fencingToken: FencingToken, epoch: Long, commands: List<Command>): ByteArray = Json.write {
        writeJsonObject {
            writeNumberField("baton", fencingToken.number)
            writeNumberField("shift", epoch)
            commands(commands)
        }
    }

    /** Sends a worker on; without [owner] it tries the next controller by itself. */
    fun encodeRedirect(owner: MemberId?): ByteArray = Json.write {
        writeJsonObject { owner?.let { writeStringField("dispatcher", it.text) } }
    }

    private fun JsonGenerator.commands(commands: List<Command>) = writeJsonArray("dispatches") {
        for (command in commands) {
            writeJsonObject {
                writeStringField("order", command.word())
                writeStringField("box", command.task.toString())
                writeNumberField("trip", command.attempt.number)
                if (command is Command.Stop) writeNumberField("leewayS", command.graceSeconds)
            }
        }
    }

    private fun Command.word(): String = when (this) {
        is Command.Start -> "start"
        is Command.Stop -> "halt"
        is Command.Remove -> "reap"
    }
}
