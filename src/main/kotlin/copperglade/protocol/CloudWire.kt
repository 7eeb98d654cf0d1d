package copperglade.protocol

import com.fasterxml.jackson.databind.JsonNode

class MachineType(
    val name: String,
    val capacity: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
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
    val ageS: Double,
)

class MachinePage(val machines: List<ListedMachine>, val more: Boolean)

object CloudWire {
    const val MAX_RENTED = 50
    const val MAX_DELETED = 100
    const val LIST_LIMIT = 500
    private const val ANSWER = "answer of the cloud"

    fun parseTypes(root: JsonNode?): List<MachineType>? = Decoding.orNull(ANSWER) {
        root?.get("fleets")?.takeIf { it.isArray }?.mapNotNull(::parseType)
    }

    private fun parseType(node: JsonNode): MachineType? {
        val cpus = node.number("vcpus") ?: return null
        val memoryGb = node.number("memoryGb") ?: return null
        val price = node.number("price") ?: 0.0
        return MachineType(
            name = node.text("name") ?: return null,
            capacity = Resources(cpus, node.number("gpus") ?: 0.0, memoryGb),
            cacheGb = node.number("localGb") ?: 0.0,
            fetchGbPerS = node.number("pullGbPerS") ?: 1.0,
            price = price,
            spotPrice = node.number("lowPrice") ?: price,
            bootS = node.number("bootS") ?: 0.0,
            zones = node.get("depots")?.map { it.asText() }.orEmpty(),
        )
    }

    fun parsePage(root: JsonNode?): MachinePage? = Decoding.orNull(ANSWER) {
        root?.get("trucks")?.takeIf { it.isArray }?.let { machines ->
            MachinePage(machines.mapNotNull(::parseListed), root.flag("truncated") ?: false)
        }
    }

    private fun parseListed(node: JsonNode): ListedMachine? {
        val status = when (node.text("status")) {
            "starting" -> MachineStatus.BOOTING
            "failed" -> MachineStatus.FAILED
            else -> MachineStatus.RUNNING
        }
        return ListedMachine(
            name = MachineName(node.text("nameId") ?: return null),
            type = node.text("fleet") ?: return null,
            zone = node.text("depot") ?: return null,
            spot = node.flag("borrowed") ?: false,
            status = status,
            ageS = node.number("ageS") ?: 0.0,
        )
    }

    fun rental(request: String, type: String, zone: String, spot: Boolean, count: Int): ByteArray = Json.write {
        obj {
            writeStringField("hire", request)
            writeStringField("fleet", type)
            writeStringField("depot", zone)
            writeBooleanField("borrowed", spot)
            writeNumberField("howMany", count)
        }
    }

    fun parseRented(root: JsonNode?): List<MachineName>? = Decoding.orNull(ANSWER) {
        root?.get("trucks")?.takeIf { it.isArray }?.map { MachineName(it.asText()) }
    }

    fun deletion(machines: List<MachineName>): ByteArray = Json.write {
        obj { array("trucks") { machines.forEach { writeString(it.text) } } }
    }
}
