package copperglade.settings

import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PlatformSettingsParserTest {
    @Test
    fun `the error for a missing section names the section`() {
        val exception =
            assertThrows(
                InvalidSettingException::class.java,
            ) { PlatformSettingsParser.parse("""{"outside":{},"deployment":{}}""".toByteArray()) }
        assertTrue(exception.message!!.contains("workers"))
        assertThrows(InvalidSettingException::class.java) { PlatformSettingsParser.parse("no".toByteArray()) }
    }
}
