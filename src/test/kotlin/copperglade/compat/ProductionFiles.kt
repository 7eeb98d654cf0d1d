package copperglade.compat

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import copperglade.protocol.Json
import java.util.Base64

/** A value that the version in production wrote to the state service. */
class RecordSample(val key: String, val value: JsonNode) {
    /** The bytes that were written, as text. */
    val text: String get() = value.toString()

    /** The directory of the key, such as `live`; `lead` is a key by itself, and ends of jobs are `over`. */
    val directory: String get() = key.removePrefix("cg/").removePrefix("now/").substringBefore('/')

    /** The same value with a field more, as a later version may write it. */
    fun with(field: String, content: JsonNode): JsonNode = value.deepCopy<ObjectNode>().set(field, content)

    override fun toString() = "$key $text"
}

/** The samples in `src/test/resources/production`; the README there tells how they were made. */
object ProductionFiles {
    private val records = read("records.json")

    /** All records at one moment. */
    val snapshot: List<RecordSample> = samples("snapshot")

    /** One value of each kind that was written. */
    val writes: List<RecordSample> = samples("writes")

    val all: List<RecordSample> = snapshot + writes

    /** Bodies of requests between controllers, by kind. */
    val messages: Map<String, ByteArray> =
        read("peer-messages.json").properties().associate { (kind, body) -> kind to Base64.getDecoder().decode(body.textValue()) }

    /** The only value in the snapshot with this [key]. */
    fun inSnapshot(key: String): RecordSample = snapshot.single { it.key == key }

    /** The first value that was written to [key] and holds [part]. */
    fun written(key: String, part: String): RecordSample = writes.first { it.key == key && part in it.text }

    fun message(kind: String): ByteArray = messages.getValue(kind)

    private fun samples(part: String) = records.get(part).map { RecordSample(it.get("key").textValue(), it.get("value")) }

    private fun read(file: String): JsonNode =
        Json.read(javaClass.getResourceAsStream("/production/$file")!!.use { it.readBytes() })!!
}
