package copperglade.protocol

import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JsonTest {
    @Test
    fun `strict reading returns null for bytes other than one JSON value in UTF-8`() {
        assertNull(Json.readStrict(byteArrayOf('"'.code.toByte(), 0xC3.toByte(), '"'.code.toByte())))
        assertNull(Json.readStrict("{} {}".toByteArray()))
        assertNull(Json.readStrict("{".toByteArray()))
        assertTrue(Json.readStrict("{}".toByteArray())!!.isObject)
    }
}
