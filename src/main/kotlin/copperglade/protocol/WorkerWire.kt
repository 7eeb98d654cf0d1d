package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode

enum class BoxState(val wire: String) {
    FETCHING("pulling"),

    /** Only gangs wait for their mates; read so that a newer worker is understood. */
    WAITING("waiting"),
    RUNNING("running"),
    SAVING("saving"),
    EXITED("ended"),
}

enum class ExitCause(val wire: String) {
    DONE("done"),
    STOPPED("halted"),
    ERROR("error"),
    NO_ROOM("full"),
    BUSY("busy"),
    UNKNOWN_JOB("no_such"),
    OTHER("other"),
}

/** A task on a machine, as its worker reports it. */
data class Box(val task: TaskId, val trip: Trip, val state: BoxState, val cause: ExitCause?)

/** A worker's report. */
class Report(
    val machine: MachineName,
    val endpoint: Endpoint,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val tally: Long,
    val baton: Baton,
    val noticeS: Double?,
    val boxes: List<Box>,
) {
    fun newerThan(otherSession: Long, otherTally: Long): Boolean =
        session > otherSession || (session == otherSession && tally > otherTally)
}

sealed interface Command {
    val task: TaskId
    val trip: Trip

    data class Start(override val task: TaskId, override val trip: Trip) : Command

    data class Halt(override val task: TaskId, override val trip: Trip, val graceS: Double) : Command

    data class Reap(override val task: TaskId, override val trip: Trip) : Command
}

object WorkerWire {
    const val REPORT_PATH = "/checkin"
    const val COMMAND_PATH = "/do"

    fun parseReport(bytes: ByteArray): Report? {
        val root = Json.read(bytes)?.takeIf { it.isObject } ?: return null
        val boxes = root.present("boxes")
        if (boxes != null && !boxes.isArray) return null
        return Report(
            machine = MachineName(root.text("truck") ?: return null),
            endpoint = Endpoint.parse(root.text("addr") ?: return null) ?: return null,
            type = root.text("fleet") ?: return null,
            zone = root.text("depot") ?: return null,
            spot = root.flag("borrowed") ?: return null,
            session = root.long("shift") ?: return null,
            tally = root.long("tally") ?: return null,
            baton = Baton(root.long("baton") ?: 0),
            noticeS = root.number("recallS"),
            boxes = boxes?.map { parseBox(it) ?: return null } ?: emptyList(),
        )
    }

    private fun parseBox(node: JsonNode): Box? {
        val state = node.text("status")
        val cause = node.text("cause")
        return Box(
            task = TaskId.parse(node.text("box") ?: return null) ?: return null,
            trip = Trip(node.long("trip") ?: return null),
            state = BoxState.entries.firstOrNull { it.wire == state } ?: return null,
            cause = cause?.let { ExitCause.entries.firstOrNull { known -> known.wire == cause } ?: ExitCause.OTHER },
        )
    }

    fun answer(baton: Baton, commands: List<Command>): ByteArray = Json.write {
        obj {
            writeNumberField("baton", baton.number)
            commands(commands)
        }
    }

    fun order(baton: Baton, session: Long, commands: List<Command>): ByteArray = Json.write {
        obj {
            writeNumberField("baton", baton.number)
            writeNumberField("shift", session)
            commands(commands)
        }
    }

    /** Sends a worker on; without [owner] it tries the next controller by itself. */
    fun sendOn(owner: MemberId?): ByteArray = Json.write {
        obj { owner?.let { writeStringField("dispatcher", it.text) } }
    }

    private fun JsonGenerator.commands(commands: List<Command>) = array("dispatches") {
        for (command in commands) {
            obj {
                writeStringField("order", command.word())
                writeStringField("box", command.task.toString())
                writeNumberField("trip", command.trip.number)
                if (command is Command.Halt) writeNumberField("leewayS", command.graceS)
            }
        }
    }

    private fun Command.word(): String = when (this) {
        is Command.Start -> "start"
        is Command.Halt -> "halt"
        is Command.Reap -> "reap"
    }
}
