package copperglade.settings

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Endpoint
import copperglade.protocol.doubleOrNull
import copperglade.protocol.fieldOrNull
import copperglade.protocol.stringOrNull

// Required fields of the settings file: each throws InvalidSettingException where its field is missing or makes no sense.

/** The field [name], an object. */
internal fun JsonNode.objectField(name: String): JsonNode =
    fieldOrNull(name)?.takeIf { it.isObject } ?: throw InvalidSettingException("$name: missing or not an object")

/** The field [name], a list. */
internal fun JsonNode.listField(name: String): JsonNode =
    fieldOrNull(name)?.takeIf { it.isArray } ?: throw InvalidSettingException("$name: missing or not a list")

/** The field [name], a string that isn't empty. */
internal fun JsonNode.stringField(name: String): String =
    stringOrNull(name)?.takeIf { it.isNotEmpty() } ?: throw InvalidSettingException("$name: missing or not a string")

/** The field [name], an endpoint. */
internal fun JsonNode.endpointField(name: String): Endpoint =
    Endpoint.parse(stringField(name)) ?: throw InvalidSettingException("$name: not of the form host:port")

/** The field [name], a finite number of at least 0. */
internal fun JsonNode.nonNegativeNumber(name: String): Double =
    doubleOrNull(name)?.takeIf { it.isFinite() && it >= 0.0 }
        ?: throw InvalidSettingException("$name: missing or not a number of at least 0")

/**
 * A limit of the state service: the lower of the present one and of the one that is announced in `next`. The
 * moment of the change is not announced, so the lower one is kept from the start.
 */
internal fun JsonNode.stateLimit(name: String): Double = minOf(positiveNumber(name), announcedStateLimit(name) ?: Double.MAX_VALUE)

private fun JsonNode.announcedStateLimit(name: String): Double? {
    val next = fieldOrNull("next") ?: return null
    if (!next.isObject) throw InvalidSettingException("state.next: not an object")
    if (next.fieldOrNull(name) == null) return null
    return next.doubleOrNull(name)?.takeIf { it.isFinite() && it > 0.0 }
        ?: throw InvalidSettingException("state.next.$name: must be a number larger than 0")
}

/** As [stateLimit], in whole numbers of at least 1. */
internal fun JsonNode.integerStateLimit(name: String): Int =
    stateLimit(name).toInt().takeIf { it >= 1 } ?: throw InvalidSettingException("$name: must be at least 1")

/** The field [name], a finite number larger than 0. */
internal fun JsonNode.positiveNumber(name: String): Double =
    nonNegativeNumber(name).takeIf { it > 0.0 } ?: throw InvalidSettingException("$name: must be larger than 0")

/** As [positiveNumber]; null where the field is omitted or null. */
internal fun JsonNode.positiveNumberOrNull(name: String): Double? = if (fieldOrNull(name) == null) null else positiveNumber(name)
