package copperglade.protocol

enum class JobStatus(val wire: String, val final: Boolean) {
    QUEUED("queued", false),
    RUNNING("running", false),
    DONE("done", true),
    CANCELLED("aborted", true),
}

/** What a user is told of a job. */
class JobAnswer(val id: JobId, val status: JobStatus, val done: Int, val running: Int)

object UserWire {
    const val JOBS_PATH = "/submissions"
    const val HEALTH_PATH = "/healthz"
    const val CANCEL_END = "cancel"

    fun full(answer: JobAnswer): ByteArray = Json.write {
        obj {
            writeStringField("nameId", answer.id.text)
            writeStringField("status", answer.status.wire)
            writeNumberField("done", answer.done)
            writeNumberField("running", answer.running)
        }
    }

    fun short(id: JobId, status: JobStatus): ByteArray = Json.write {
        obj {
            writeStringField("nameId", id.text)
            writeStringField("status", status.wire)
        }
    }

    fun error(problem: String, field: String? = null): ByteArray = Json.write {
        obj {
            writeStringField("error", problem)
            field?.let { writeStringField("field", it) }
        }
    }
}
