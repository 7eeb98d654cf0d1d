package copperglade.protocol

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * Parses a heartbeat from a stream of tokens, without building a JSON tree, since a controller receives many heartbeats a second. A
 * heartbeat in which a required field is missing or mistyped parses to null; unknown fields are skipped.
 */
internal class HeartbeatParser {
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

    /** Parses the fields of the object whose start [parser] has just read; returns null for an invalid heartbeat. */
    fun parse(parser: JsonParser): Heartbeat? {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val name = parser.currentName()
            parser.nextToken()
            when (name) {
                "truck" -> machine = parser.stringOrNull()
                "addr" -> endpoint = parser.stringOrNull()?.let { Endpoint.parse(it) }
                "fleet" -> type = parser.stringOrNull()
                "depot" -> zone = parser.stringOrNull()
                "borrowed" -> spot = parser.booleanOrNull()
                "shift" -> epoch = parser.longOrNull()
                "tally" -> sequenceNumber = parser.longOrNull()
                "baton" -> fencingToken = parser.longOrNull() ?: 0
                "recallS" -> evictionNoticeSeconds = parser.doubleOrNull()
                "boxes" -> reportedTasks = readReportedTasks(parser)
                else -> parser.skipChildren()
            }
        }
        return heartbeatOrNull()
    }

    private fun heartbeatOrNull(): Heartbeat? {
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
        var wellFormed = true
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            val isObject = parser.currentToken() == JsonToken.START_OBJECT
            val reportedTask = if (isObject) readReportedTask(parser) else null.also { parser.skipChildren() }
            if (reportedTask == null) wellFormed = false else read += reportedTask
        }
        return read.takeIf { wellFormed }
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
                "box" -> task = parser.stringOrNull()?.let { TaskId.parse(it) }
                "trip" -> attempt = parser.longOrNull()
                "status" -> status = parser.stringOrNull()
                "cause" -> cause = parser.stringOrNull()
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

    private fun JsonParser.stringOrNull(): String? = if (currentToken() == JsonToken.VALUE_STRING) text else skipMistyped()

    private fun JsonParser.longOrNull(): Long? = if (currentToken() == JsonToken.VALUE_NUMBER_INT) longValue else skipMistyped()

    private fun JsonParser.doubleOrNull(): Double? = if (currentToken().isNumeric) doubleValue else skipMistyped()

    private fun JsonParser.booleanOrNull(): Boolean? = if (currentToken().isBoolean) booleanValue else skipMistyped()

    /** Skips a value whose type is not the type of the field. */
    private fun JsonParser.skipMistyped(): Nothing? {
        skipChildren()
        return null
    }
}
