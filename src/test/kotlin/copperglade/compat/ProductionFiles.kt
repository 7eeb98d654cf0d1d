package copperglade.compat

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.Json
import java.util.Base64

/** A record that the production version wrote to the state service. */
class RecordSample(val key: String, val value: JsonNode) {
    /** The written bytes, as text. */
    val text: String get() = value.toString()

    /** The directory of the key, such as `live`; `lead` for the leader key, and `over` for end records of jobs. */
    val directory: String get() = key.removePrefix("cg/").removePrefix("now/").substringBefore('/')

    /** The value with an additional field, as a later version may write it. */
    fun with(field: String, content: JsonNode): JsonNode = value.deepCopy<ObjectNode>().set(field, content)

    override fun toString() = "$key $text"
}

/** The samples in `src/test/resources/production`; the README in that directory describes how they are recorded. */
object ProductionFiles {
    private val records = read("records.json")

    /** All records of the state service at one point in time. */
    val snapshot: List<RecordSample> = samples("snapshot")

    /** One sample of each kind of record. */
    val writes: List<RecordSample> = samples("writes")

    val all: List<RecordSample> = snapshot + writes

    /** Bodies of requests between controllers, by kind. */
    val messages: Map<String, ByteArray> =
        read("peer-messages.json").properties().associate { (kind, body) -> kind to Base64.getDecoder().decode(body.textValue()) }

    /** The record in the snapshot with this [key]. */
    fun inSnapshot(key: String): RecordSample = snapshot.single { it.key == key }

    /** The first record that was written to [key] and whose text contains [part]. */
    fun written(key: String, part: String): RecordSample = writes.first { it.key == key && part in it.text }

    fun message(kind: String): ByteArray = messages.getValue(kind)

    private fun samples(part: String) = records.get(part).map { RecordSample(it.get("key").textValue(), it.get("value")) }

    private fun read(file: String): JsonNode =
        Json.read(javaClass.getResourceAsStream("/production/$file")!!.use { it.readBytes() })!!
}
