package copperglade.protocol

enum class JobStatus(val wireName: String, val isFinal: Boolean) {
    QUEUED("queued", false),
    RUNNING("running", false),
    DONE("done", true),
    CANCELLED("aborted", true),
}

/** What a user is told of a job. */
class JobSummary(val id: JobId, val status: JobStatus, val done: Int, val running: Int)

object UserApiCodec {
    const val JOBS_PATH = "/submissions"
    const val HEALTH_PATH = "/healthz"
    const val CANCEL_SUFFIX = "cancel"

    fun encodeSummary(answer: JobSummary): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("nameId", answer.id.text)
            writeStringField("status", answer.status.wireName)
            writeNumberField("done", answer.done)
            writeNumberField("running", answer.running)
        }
    }

    fun encodeStatus(id: JobId, status: JobStatus): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("nameId", id.text)
            writeStringField("status", status.wireName)
        }
    }

    fun encodeError(problem: String, field: String? = null): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("error", problem)
            field?.let { writeStringField("field", it) }
        }
    }
}
