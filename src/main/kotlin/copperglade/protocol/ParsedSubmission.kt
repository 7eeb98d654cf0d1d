package copperglade.protocol

/** What was wrong with a submission, by the name of its field on the wire. */
class InvalidField(val field: String, val problem: String)

/** What a submission's body holds. */
sealed interface ParsedSubmission {
    /** @property dependencies the jobs that have to be done before it, each named once. */
    class Valid(val spec: JobSpec, val dependencies: List<JobId> = emptyList()) : ParsedSubmission

    /** @property id the job's id, where that much could be read. */
    class Invalid(val error: InvalidField, val id: JobId? = null) : ParsedSubmission
}
