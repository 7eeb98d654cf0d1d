package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode

/** Reads and writes jobs in the users' wire form, which stored records share. */
object JobSpecCodec {
    /** The jobs that have to be done before this one; the stored record of a job uses the same name. */
    const val DEPENDENCIES = "awaits"
    private const val MAX_TASKS = 100_000
    private const val MAX_AMOUNT = 1e9
    private const val MAX_TEXT_LENGTH = 200

    /** Ends the reading of a submission; never leaves this codec. */
    private class Refused(val error: InvalidField) : Exception(null, null, false, false)

    /** Reads a user's submission; bytes that aren't a JSON object in UTF-8 are invalid. */
    fun decodeSubmission(bytes: ByteArray): ParsedSubmission {
        val root = Json.readStrict(bytes)
        return Decoding.orNull("submission") { parse(root) }
            ?: ParsedSubmission.Invalid(InvalidField("body", "malformed"), root?.let(::idOf))
    }

    /** Reads a job from its parsed wire form. */
    fun parse(root: JsonNode?): ParsedSubmission = try {
        if (root == null || !root.isObject) refuse("body", "not a JSON object")
        ParsedSubmission.Valid(read(root), dependencies(root))
    } catch (refused: Refused) {
        ParsedSubmission.Invalid(refused.error, root?.let(::idOf))
    }

    private fun idOf(root: JsonNode): JobId? = root.takeIf { it.isObject }?.stringOrNull("nameId")?.let { JobId.parse(it) }

    private fun read(root: JsonNode): JobSpec = JobSpec(
        id = JobId.parse(text(root, "nameId")) ?: refuse("nameId", "not of the form job-000412"),
        load = text(root, "load"),
        team = TeamName(text(root, "crew")),
        kind = choice(root, "haul", listOf(JobKind.ARRAY, JobKind.SERVICE)) { it.wireName },
        priority = choice(root, "urgency", Priority.entries) { it.wireName },
        tasks = taskCount(root),
        request = Resources(amount(root, "vcpus"), amount(root, "gpus"), amount(root, "memoryGb")),
        image = Image(ImageName(text(root, "manifest")), amount(root, "pullGb")),
        types = types(root),
        zone = if (root.fieldOrNull("depot") == null) null else text(root, "depot"),
        oneZone = flag(root, "oneZone"),
        spread = flag(root, "spread"),
        spotAllowed = flag(root, "borrowed"),
        estimatedSeconds = amount(root, "etaS"),
        checkpointIntervalSeconds = amount(root, "waypointS"),
        checkpointSeconds = amount(root, "unloadS"),
        deadlineSeconds = if (root.fieldOrNull("dueS") == null) null else amount(root, "dueS"),
    )

    /** Writes [spec] as [parse] reads it; its dependencies are not part of it. */
    fun write(out: JsonGenerator, spec: JobSpec) = with(out) {
        writeJsonObject {
            writeStringField("nameId", spec.id.text)
            writeStringField("load", spec.load)
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

    private fun refuse(field: String, problem: String): Nothing = throw Refused(InvalidField(field, problem))

    private fun text(root: JsonNode, name: String): String {
        val value = root.stringOrNull(name) ?: refuse(name, "missing or not a string")
        if (value.isEmpty() || value.length > MAX_TEXT_LENGTH) refuse(name, "empty or too long")
        return value
    }

    private fun flag(root: JsonNode, name: String): Boolean =
        root.booleanOrNull(name) ?: refuse(name, "missing or not true or false")

    private fun amount(root: JsonNode, name: String): Double {
        val value = root.doubleOrNull(name) ?: refuse(name, "missing or not a number")
        if (!value.isFinite() || value < 0.0 || value > MAX_AMOUNT) refuse(name, "out of range")
        return value
    }

    private fun taskCount(root: JsonNode): Int {
        val value = root.longOrNull("boxes") ?: refuse("boxes", "missing or not an integer")
        if (value !in 1..MAX_TASKS) refuse("boxes", "not between 1 and $MAX_TASKS")
        return value.toInt()
    }

    private fun types(root: JsonNode): List<String>? {
        val value = root.fieldOrNull("fleets") ?: return null
        if (!value.isArray || value.any { !it.isTextual }) refuse("fleets", "not a list of strings")
        return value.map { it.textValue() }
    }

    private fun dependencies(root: JsonNode): List<JobId> {
        val value = root.fieldOrNull(DEPENDENCIES) ?: return emptyList()
        if (!value.isArray) refuse(DEPENDENCIES, "not a list of job ids")
        val ids = value.map { element ->
            element.takeIf { it.isTextual }?.let { JobId.parse(it.textValue()) } ?: refuse(DEPENDENCIES, "not a list of job ids")
        }
        return ids.distinct()
    }

    private fun <T> choice(root: JsonNode, name: String, among: List<T>, wireName: (T) -> String): T {
        val value = text(root, name)
        return among.firstOrNull { wireName(it) == value } ?: refuse(name, "unknown value")
    }
}
