package copperglade.protocol

/** The [problem] of a submission's invalid [field], which is named as on the wire. */
class InvalidField(val field: String, val problem: String)

/** The result of decoding a submission's body. */
sealed interface ParsedSubmission {
    /** @property dependencies the jobs to be done before this one, without duplicates. */
    class Valid(val spec: JobSpec, val dependencies: List<JobId> = emptyList()) : ParsedSubmission

    /** @property id the job's id; null where the id could not be decoded. */
    class Invalid(val error: InvalidField, val id: JobId? = null) : ParsedSubmission
}
