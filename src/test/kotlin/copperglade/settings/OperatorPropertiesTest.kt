package copperglade.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.Properties
import kotlin.time.Duration.Companion.seconds

class OperatorPropertiesTest {
    private fun parse(vararg entries: Pair<String, String>) =
        OperatorProperties.parse(Properties().apply { entries.forEach { setProperty(it.first, it.second) } })

    @Test
    fun `properties are read, and missing properties keep their defaults`() {
        val operatorSettings = parse("lead.hold.s" to "2.5", "fleet.headroom" to "1.5")
        assertEquals(2.5.seconds, operatorSettings.leaderLease)
        assertEquals(1.5, operatorSettings.headroomFactor)
        assertEquals(8, operatorSettings.nearestProfileCount)
    }

    @Test
    fun `unknown keys and invalid values are refused with the key in the message`() {
        assertEquals(
            "unknown property hold.limit",
            assertThrows(InvalidSettingException::class.java) { parse("hold.limit" to "1") }.message,
        )
        val exception = assertThrows(InvalidSettingException::class.java) { parse("fleet.headroom" to "lots") }
        assertEquals(true, exception.message!!.startsWith("fleet.headroom"))
        assertThrows(InvalidSettingException::class.java) { parse("profiles.nearest" to "0") }
    }
}
