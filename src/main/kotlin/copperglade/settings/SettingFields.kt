package copperglade.settings

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Endpoint
import copperglade.protocol.doubleOrNull
import copperglade.protocol.fieldOrNull
import copperglade.protocol.stringOrNull

// Functions that read fields of the settings file. Each throws InvalidSettingException where the field is invalid or, if required, missing.

/** The required field [name], an object. */
internal fun JsonNode.objectField(name: String): JsonNode =
    fieldOrNull(name)?.takeIf { it.isObject } ?: throw InvalidSettingException("$name: missing or not an object")

/** The required field [name], a list. */
internal fun JsonNode.listField(name: String): JsonNode =
    fieldOrNull(name)?.takeIf { it.isArray } ?: throw InvalidSettingException("$name: missing or not a list")

/** The required field [name], a non-empty string. */
internal fun JsonNode.stringField(name: String): String =
    stringOrNull(name)?.takeIf { it.isNotEmpty() } ?: throw InvalidSettingException("$name: missing or not a string")

/** The required field [name], an endpoint of the form `host:port`. */
internal fun JsonNode.endpointField(name: String): Endpoint =
    Endpoint.parse(stringField(name)) ?: throw InvalidSettingException("$name: not of the form host:port")

/** The required field [name], a finite number of at least 0. */
internal fun JsonNode.nonNegativeNumber(name: String): Double =
    doubleOrNull(name)?.takeIf { it.isFinite() && it >= 0.0 }
        ?: throw InvalidSettingException("$name: missing or not a number of at least 0")

/**
 * A limit of the state service: the lower of the current limit and the one announced in `next`, if any. The time of the change is not
 * announced, so the lower limit applies from the start.
 */
internal fun JsonNode.stateLimit(name: String): Double = minOf(positiveNumber(name), announcedStateLimit(name) ?: Double.MAX_VALUE)

private fun JsonNode.announcedStateLimit(name: String): Double? {
    val next = fieldOrNull("next") ?: return null
    if (!next.isObject) throw InvalidSettingException("state.next: not an object")
    if (next.fieldOrNull(name) == null) return null
    return next.doubleOrNull(name)?.takeIf { it.isFinite() && it > 0.0 }
        ?: throw InvalidSettingException("state.next.$name: must be a number larger than 0")
}

/** As [stateLimit], rounded down to an integer of at least 1. */
internal fun JsonNode.integerStateLimit(name: String): Int =
    stateLimit(name).toInt().takeIf { it >= 1 } ?: throw InvalidSettingException("$name: must be at least 1")

/** The required field [name], a finite number larger than 0. */
internal fun JsonNode.positiveNumber(name: String): Double =
    nonNegativeNumber(name).takeIf { it > 0.0 } ?: throw InvalidSettingException("$name: must be larger than 0")

/** As [positiveNumber], but optional: null where the field is missing or null. */
internal fun JsonNode.positiveNumberOrNull(name: String): Double? = if (fieldOrNull(name) == null) null else positiveNumber(name)
