package copperglade.protocol

import com.fasterxml.jackson.databind.JsonNode

class MachineType(
    val name: String,
    val capacity: Resources,
    val imageCacheGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    val bootSeconds: Double,
    val zones: List<String>,
)

enum class MachineStatus { BOOTING, RUNNING, FAILED }

/** A machine as the cloud lists it, some seconds late. */
class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val ageSeconds: Double,
)

class MachinePage(val machines: List<ListedMachine>, val more: Boolean)

object CloudApiCodec {
    const val MAX_MACHINES_PER_RENTAL = 50
    const val MAX_MACHINES_PER_DELETION = 100
    const val MACHINES_PER_PAGE = 500
    private const val ANSWER = "answer of the cloud"

    fun decodeMachineTypes(root: JsonNode?): List<MachineType>? = Decoding.orNull(ANSWER) {
        root?.get("fleets")?.takeIf { it.isArray }?.mapNotNull(::parseType)
    }

    private fun parseType(node: JsonNode): MachineType? {
        val cpus = node.doubleOrNull("vcpus") ?: return null
        val memoryGb = node.doubleOrNull("memoryGb") ?: return null
        val price = node.doubleOrNull("price") ?: 0.0
        return MachineType(
            name = node.stringOrNull("name") ?: return null,
            capacity = Resources(cpus, node.doubleOrNull("gpus") ?: 0.0, memoryGb),
            imageCacheGb = node.doubleOrNull("localGb") ?: 0.0,
            fetchGbPerSecond = node.doubleOrNull("pullGbPerS") ?: 1.0,
            price = price,
            spotPrice = node.doubleOrNull("lowPrice") ?: price,
            bootSeconds = node.doubleOrNull("bootS") ?: 0.0,
            zones = node.get("depots")?.map { it.asText() }.orEmpty(),
        )
    }

    fun decodeMachinePage(root: JsonNode?): MachinePage? = Decoding.orNull(ANSWER) {
        root?.get("trucks")?.takeIf { it.isArray }?.let { machines ->
            MachinePage(machines.mapNotNull(::parseListed), root.booleanOrNull("truncated") ?: false)
        }
    }

    private fun parseListed(node: JsonNode): ListedMachine? {
        val status = when (node.stringOrNull("status")) {
            "starting" -> MachineStatus.BOOTING
            "failed" -> MachineStatus.FAILED
            else -> MachineStatus.RUNNING
        }
        return ListedMachine(
            name = MachineName(node.stringOrNull("nameId") ?: return null),
            type = node.stringOrNull("fleet") ?: return null,
            zone = node.stringOrNull("depot") ?: return null,
            spot = node.booleanOrNull("borrowed") ?: false,
            status = status,
            ageSeconds = node.doubleOrNull("ageS") ?: 0.0,
        )
    }

    fun encodeRental(request: String, type: String, zone: String, spot: Boolean, count: Int): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("hire", request)
            writeStringField("fleet", type)
            writeStringField("depot", zone)
            writeBooleanField("borrowed", spot)
            writeNumberField("howMany", count)
        }
    }

    fun decodeRental(root: JsonNode?): List<MachineName>? = Decoding.orNull(ANSWER) {
        root?.get("trucks")?.takeIf { it.isArray }?.map { MachineName(it.asText()) }
    }

    fun encodeDeletion(machines: List<MachineName>): ByteArray = Json.write {
        writeJsonObject { writeJsonArray("trucks") { machines.forEach { writeString(it.text) } } }
    }
}
