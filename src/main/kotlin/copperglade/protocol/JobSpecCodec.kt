package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode

/** Decodes and encodes jobs in the wire form of the users' API, which stored records use as well. */
object JobSpecCodec {
    /** The field that lists the jobs to be done before this one; the stored record of a job uses the same name. */
    const val DEPENDENCIES = "awaits"
    private const val MAX_NUMBER = 1e9
    private const val MAX_TEXT_LENGTH = 200

    /** Aborts the decoding of a submission; always caught within this codec. */
    private class InvalidFieldException(val error: InvalidField) : Exception(null, null, false, false)

    /** Decodes a user's submission; bytes that aren't a JSON object in UTF-8 are invalid. */
    fun decodeSubmission(bytes: ByteArray): ParsedSubmission {
        val root = Json.readStrict(bytes)
        return Decoding.orNull("submission") { parse(root) }
            ?: ParsedSubmission.Invalid(InvalidField("body", "malformed"), root?.let(::readIdOrNull))
    }

    /** Decodes a job from the JSON tree of its wire form. */
    fun parse(root: JsonNode?): ParsedSubmission = try {
        if (root == null || !root.isObject) reject("body", "not a JSON object")
        ParsedSubmission.Valid(readJobSpec(root), readDependencies(root))
    } catch (exception: InvalidFieldException) {
        ParsedSubmission.Invalid(exception.error, root?.let(::readIdOrNull))
    }

    private fun readIdOrNull(root: JsonNode): JobId? = root.takeIf { it.isObject }?.stringOrNull("nameId")?.let { JobId.parse(it) }

    private fun readJobSpec(root: JsonNode): JobSpec = JobSpec(
        id = JobId.parse(readString(root, "nameId")) ?: reject("nameId", "not of the form job-000412"),
        workloadClass = readString(root, "load"),
        team = TeamName(readString(root, "crew")),
        kind = readEnum(root, "haul", listOf(JobKind.ARRAY, JobKind.SERVICE)) { it.wireName },
        priority = readEnum(root, "urgency", Priority.entries) { it.wireName },
        tasks = readTaskCount(root),
        request = Resources(readNumber(root, "vcpus"), readNumber(root, "gpus"), readNumber(root, "memoryGb")),
        image = Image(ImageName(readString(root, "manifest")), readNumber(root, "pullGb")),
        types = readTypes(root),
        zone = if (root.fieldOrNull("depot") == null) null else readString(root, "depot"),
        oneZone = readBoolean(root, "oneZone"),
        spread = readBoolean(root, "spread"),
        spotAllowed = readBoolean(root, "borrowed"),
        estimatedSeconds = readNumber(root, "etaS"),
        checkpointIntervalSeconds = readNumber(root, "waypointS"),
        checkpointSeconds = readNumber(root, "unloadS"),
        deadlineSeconds = if (root.fieldOrNull("dueS") == null) null else readNumber(root, "dueS"),
    )

    /** Writes [spec] in the form that [parse] decodes. A spec holds no dependencies, so none are written. */
    fun write(out: JsonGenerator, spec: JobSpec) = with(out) {
        writeJsonObject {
            writeStringField("nameId", spec.id.text)
            writeStringField("load", spec.workloadClass)
            writeStringField("crew", spec.team.text)
            writeStringField("haul", spec.kind.wireName)
            writeStringField("urgency", spec.priority.wireName)
            writeNumberField("boxes", spec.tasks)
            writeNumberField("vcpus", spec.request.cpus)
            writeNumberField("gpus", spec.request.gpus)
            writeNumberField("memoryGb", spec.request.memoryGb)
            writeStringField("manifest", spec.image.name.text)
            writeNumberField("pullGb", spec.image.sizeGb)
            spec.types?.let { types -> writeJsonArray("fleets") { types.forEach(::writeString) } }
            spec.zone?.let { writeStringField("depot", it) }
            writeBooleanField("oneZone", spec.oneZone)
            writeBooleanField("spread", spec.spread)
            writeBooleanField("borrowed", spec.spotAllowed)
            writeNumberField("etaS", spec.estimatedSeconds)
            writeNumberField("waypointS", spec.checkpointIntervalSeconds)
            writeNumberField("unloadS", spec.checkpointSeconds)
            spec.deadlineSeconds?.let { writeNumberField("dueS", it) }
        }
    }

    private fun reject(field: String, problem: String): Nothing = throw InvalidFieldException(InvalidField(field, problem))

    private fun readString(root: JsonNode, name: String): String {
        val value = root.stringOrNull(name) ?: reject(name, "missing or not a string")
        if (value.isEmpty() || value.length > MAX_TEXT_LENGTH) reject(name, "empty or too long")
        return value
    }

    private fun readBoolean(root: JsonNode, name: String): Boolean =
        root.booleanOrNull(name) ?: reject(name, "missing or not true or false")

    private fun readNumber(root: JsonNode, name: String): Double {
        val value = root.doubleOrNull(name) ?: reject(name, "missing or not a number")
        if (!value.isFinite() || value < 0.0 || value > MAX_NUMBER) reject(name, "out of range")
        return value
    }

    private fun readTaskCount(root: JsonNode): Int {
        val value = root.longOrNull("boxes") ?: reject("boxes", "missing or not an integer")
        if (value !in 1..JobSpec.MAX_TASKS) reject("boxes", "not between 1 and ${JobSpec.MAX_TASKS}")
        return value.toInt()
    }

    private fun readTypes(root: JsonNode): List<String>? {
        val value = root.fieldOrNull("fleets") ?: return null
        if (!value.isArray || value.any { !it.isTextual }) reject("fleets", "not a list of strings")
        return value.map { it.textValue() }
    }

    private fun readDependencies(root: JsonNode): List<JobId> {
        val value = root.fieldOrNull(DEPENDENCIES) ?: return emptyList()
        if (!value.isArray) reject(DEPENDENCIES, "not a list of job ids")
        val ids = value.map { element ->
            element.takeIf { it.isTextual }?.let { JobId.parse(it.textValue()) } ?: reject(DEPENDENCIES, "not a list of job ids")
        }
        return ids.distinct()
    }

    private fun <T> readEnum(root: JsonNode, name: String, values: List<T>, wireName: (T) -> String): T {
        val value = readString(root, name)
        return values.firstOrNull { wireName(it) == value } ?: reject(name, "unknown value")
    }
}
