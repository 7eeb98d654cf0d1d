package copperglade.protocol

import com.fasterxml.jackson.databind.JsonNode

/** Bodies and limits of the cloud's HTTP interface. A malformed response decodes to null; malformed entries of a list are omitted. */
object CloudApiCodec {
    const val MAX_MACHINES_PER_RENTAL = 50
    const val MAX_MACHINES_PER_DELETION = 100
    const val MACHINES_PER_PAGE = 500
    private const val INPUT_KIND = "cloud_response"

    /** Decodes the machine types of the catalog. */
    fun decodeMachineTypes(root: JsonNode?): List<MachineType>? = Decoding.orNull(INPUT_KIND) {
        root?.get("fleets")?.takeIf { it.isArray }?.mapNotNull(::decodeMachineType)
    }

    private fun decodeMachineType(node: JsonNode): MachineType? {
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

    /** Decodes a page of the list of machines. */
    fun decodeMachinePage(root: JsonNode?): MachinePage? = Decoding.orNull(INPUT_KIND) {
        root?.get("trucks")?.takeIf { it.isArray }?.let { machines ->
            MachinePage(machines.mapNotNull(::decodeMachine), root.booleanOrNull("truncated") ?: false)
        }
    }

    private fun decodeMachine(node: JsonNode): ListedMachine? {
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

    /** Encodes a request for [count] machines; a repetition under the same [request] name rents no further machines. */
    fun encodeRental(request: String, type: String, zone: String, spot: Boolean, count: Int): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("hire", request)
            writeStringField("fleet", type)
            writeStringField("depot", zone)
            writeBooleanField("borrowed", spot)
            writeNumberField("howMany", count)
        }
    }

    /** Decodes the names of the rented machines. */
    fun decodeRental(root: JsonNode?): List<MachineName>? = Decoding.orNull(INPUT_KIND) {
        root?.get("trucks")?.takeIf { it.isArray }?.map { MachineName(it.asText()) }
    }

    /** Encodes a request to delete [machines]. */
    fun encodeDeletion(machines: List<MachineName>): ByteArray = Json.write {
        writeJsonObject { writeJsonArray("trucks") { machines.forEach { writeString(it.text) } } }
    }
}
