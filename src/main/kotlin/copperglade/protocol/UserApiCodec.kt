package copperglade.protocol

/** Paths and bodies of the users' HTTP interface; submissions are decoded by [JobSpecCodec]. */
object UserApiCodec {
    const val JOBS_PATH = "/submissions"
    const val HEALTH_PATH = "/healthz"
    const val CANCEL_SUFFIX = "cancel"

    /** The body of an answer to a poll. */
    fun encodeSummary(summary: JobSummary): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("nameId", summary.id.text)
            writeStringField("status", summary.status.wireName)
            writeNumberField("done", summary.tasksDone)
            writeNumberField("running", summary.tasksRunning)
        }
    }

    /** The body of an answer to a submission or a cancellation. */
    fun encodeStatus(id: JobId, status: JobStatus): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("nameId", id.text)
            writeStringField("status", status.wireName)
        }
    }

    /** The body of an error answer; [field] names the invalid field of the request, if any. */
    fun encodeError(problem: String, field: String? = null): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("error", problem)
            field?.let { writeStringField("field", it) }
        }
    }
}
