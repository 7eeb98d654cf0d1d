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

/**
 * Reads and writes JSON with the one Jackson configuration of the program. Heartbeats are read as a stream and everything else as a
 * tree; bodies are written as a stream.
 */
object Json {
    private const val MAX_NESTING_DEPTH = 32
    private const val INITIAL_BYTES = 256
    private val factory = JsonFactory
        .builder()
        .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
        .build()
    private val mapper = ObjectMapper(factory)

    /** Reads [bytes] into a tree; returns null where [bytes] are not one JSON value in UTF-8. */
    fun read(bytes: ByteArray): JsonNode? = try {
        mapper.readTree(bytes)?.takeUnless { it.isMissingNode }
    } catch (_: JsonProcessingException) {
        null
    } catch (_: IOException) {
        null
    }

    /** As [read], for bytes sent by users: also returns null for invalid UTF-8 and for content after the value. */
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

    /** A streaming parser for [bytes]; the caller must close the parser. */
    fun parser(bytes: ByteArray): JsonParser = factory.createParser(bytes)

    /** The bytes of the JSON value that [content] writes. */
    fun write(content: JsonGenerator.() -> Unit): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { it.content() }
        return out.toByteArray()
    }
}

/** Writes an object with the fields that [content] writes. */
inline fun JsonGenerator.writeJsonObject(content: JsonGenerator.() -> Unit) {
    writeStartObject()
    content()
    writeEndObject()
}

/** Writes the field [name] with an object as its value. */
inline fun JsonGenerator.writeJsonObject(name: String, content: JsonGenerator.() -> Unit) {
    writeFieldName(name)
    writeJsonObject(content)
}

/** Writes the field [name] with an array of the values that [content] writes. */
inline fun JsonGenerator.writeJsonArray(name: String, content: JsonGenerator.() -> Unit) {
    writeArrayFieldStart(name)
    content()
    writeEndArray()
}

/** The field [name], or null where the field is omitted or null. */
fun JsonNode.fieldOrNull(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** The field [name], or null where the value isn't a string. */
fun JsonNode.stringOrNull(name: String): String? = fieldOrNull(name)?.takeIf { it.isTextual }?.textValue()

/** The field [name], or null where the value isn't an integer in the range of [Long]. */
fun JsonNode.longOrNull(name: String): Long? = fieldOrNull(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()

/** The field [name], or null where the value isn't a number. */
fun JsonNode.doubleOrNull(name: String): Double? = fieldOrNull(name)?.takeIf { it.isNumber }?.doubleValue()

/** The field [name], or null where the value is neither true nor false. */
fun JsonNode.booleanOrNull(name: String): Boolean? = fieldOrNull(name)?.takeIf { it.isBoolean }?.booleanValue()
