package copperglade.protocol

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/** The one place where Jackson is set up. Trees are read but for reports, bodies are written as a stream. */
object Json {
    private val factory = JsonFactory
        .builder()
        .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(32).build())
        .build()
    private val mapper = ObjectMapper(factory)

    /** The tree, or null where the bytes are not one JSON value in UTF-8. */
    fun read(bytes: ByteArray): JsonNode? = try {
        mapper.readTree(bytes)?.takeUnless { it.isMissingNode }
    } catch (_: JsonProcessingException) {
        null
    } catch (_: IOException) {
        null
    }

    /** As [read], for bytes that strangers send: also refuses what is not UTF-8 and what follows the value. */
    fun readStrict(bytes: ByteArray): JsonNode? {
        try {
            Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes))
        } catch (_: CharacterCodingException) {
            return null
        }
        return try {
            factory.createParser(bytes).use { parser ->
                val tree = mapper.readTree<JsonNode>(parser)
                if (parser.nextToken() != null) null else tree
            }
        } catch (_: IOException) {
            null
        }
    }

    /** For what is read in a stream. */
    fun parser(bytes: ByteArray): JsonParser = factory.createParser(bytes)

    fun write(content: JsonGenerator.() -> Unit): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { it.content() }
        return out.toByteArray()
    }
}

inline fun JsonGenerator.writeJsonObject(content: JsonGenerator.() -> Unit) {
    writeStartObject()
    content()
    writeEndObject()
}

inline fun JsonGenerator.writeJsonObject(name: String, content: JsonGenerator.() -> Unit) {
    writeFieldName(name)
    writeJsonObject(content)
}

inline fun JsonGenerator.writeJsonArray(name: String, content: JsonGenerator.() -> Unit) {
    writeArrayFieldStart(name)
    content()
    writeEndArray()
}

/** A field that may be null and may as well be omitted. */
fun JsonNode.fieldOrNull(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

fun JsonNode.stringOrNull(name: String): String? = fieldOrNull(name)?.takeIf { it.isTextual }?.textValue()

fun JsonNode.longOrNull(name: String): Long? = fieldOrNull(name)
    ?.takeIf {
        it.isIntegralNumber && it.canConvertToLong()
    }?.longValue()

fun JsonNode.doubleOrNull(name: String): Double? = fieldOrNull(name)?.takeIf { it.isNumber }?.doubleValue()

fun JsonNode.booleanOrNull(name: String): Boolean? = fieldOrNull(name)?.takeIf { it.isBoolean }?.booleanValue()
