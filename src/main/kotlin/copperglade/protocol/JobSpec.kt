package copperglade.protocol

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode

enum class JobKind(val wireName: String) {
    ARRAY("array"),
    SERVICE("daemon"),

    /** All tasks at once or none; the protocol at hand takes no such submissions. */
    GANG("ensemble"),
}

/** From the most to the least important. */
enum class Priority(val wireName: String) {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("normal"),
    LOW("best_effort"),
}

/** What a task takes, or what a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(factor: Int) = Resources(cpus * factor, gpus * factor, memoryGb * factor)

    /** Sums of decimal fractions are not exact, hence the hair's breadth. */
    fun fitsIn(room: Resources): Boolean =
        cpus <= room.cpus + HAIR && gpus <= room.gpus + HAIR && memoryGb <= room.memoryGb + HAIR

    companion object {
        private const val HAIR = 1e-6
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}

data class Image(val name: ImageName, val gb: Double)

/** A job as its user described it. */
class JobSpec(
    val id: JobId,
    val load: String,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val request: Resources,
    val image: Image,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
    val estimatedSeconds: Double,
    val checkpointIntervalSeconds: Double,
    val checkpointSeconds: Double,
    val deadlineSeconds: Double?,
) {
    /** Whether machines of this type, in this zone and of this kind may run the job's tasks at all. */
    fun allows(type: String, machineZone: String, spot: Boolean): Boolean =
        (types == null || type in types) && (zone == null || zone == machineZone) && (!spot || spotAllowed)

    /** The most tasks that [spread] lets one zone hold. */
    val perZoneLimit: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** The same job with another priority. */
    fun withPriority(priority: Priority): JobSpec = if (priority == this.priority) this else copy(priority = priority)

    /** The same job without the list of machine types, which nobody needs once nothing of the job is placed any more. */
    fun withoutTypes(): JobSpec = copy(types = null)

    private fun copy(priority: Priority = this.priority, types: List<String>? = this.types) = JobSpec(
        id,
        load,
        team,
        kind,
        priority,
        tasks,
        request,
        image,
        types,
        zone,
        oneZone,
        spread,
        spotAllowed,
        estimatedSeconds,
        checkpointIntervalSeconds,
        checkpointSeconds,
        deadlineSeconds,
    )
}

/** What was wrong with a submission, by the name of its field on the wire. */
class InvalidField(val field: String, val problem: String)

sealed interface ParsedSubmission {
    /** @property dependencies the jobs that have to be done before it, each named once. */
    class Valid(val spec: JobSpec, val dependencies: List<JobId> = emptyList()) : ParsedSubmission

    class Invalid(val why: InvalidField) : ParsedSubmission
}

/** Reads and writes jobs in the users' wire form. */
object JobSpecCodec {
    /** The jobs that have to be done before this one; the stored record of a job uses the same name. */
    const val DEPENDENCIES = "awaits"
    private const val MAX_TASKS = 100_000
    private const val MAX_AMOUNT = 1e9
    private const val MAX_TEXT = 200

    private class Refused(val why: InvalidField) : Exception(null, null, false, false)

    fun parse(root: JsonNode?): ParsedSubmission = try {
        if (root == null || !root.isObject) refuse("body", "not a JSON object")
        ParsedSubmission.Valid(read(root), dependencies(root))
    } catch (refused: Refused) {
        ParsedSubmission.Invalid(refused.why)
    }

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
            writeNumberField("pullGb", spec.image.gb)
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
        if (value.isEmpty() || value.length > MAX_TEXT) refuse(name, "empty or too long")
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
