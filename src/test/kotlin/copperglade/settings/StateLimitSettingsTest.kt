package copperglade.settings

import copperglade.protocol.fieldOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class StateLimitSettingsTest {
    private fun settings(next: String) = PlatformSettingsParser.parse(
        """{"member":"a","location":"z","client_listen":"10.0.0.1:1","cluster_listen":"10.0.0.1:2","known":[],
        "outside":{"cloud":"10.0.0.2:1","state":"10.0.0.2:2"},"deployment":{"zones":["z"],"teams":[],
        "workers":{"report_s":1,"lease_s":5,"cancel_s":20},
        "state":{"rps":100,"write_rps":50,"value_kb":4,"txn_ops":12$next},
        "cloud":{"rps":1,"list_lag_s":1},"resources":{"fd_limit":100}}}""".toByteArray(),
    )

    private fun limits(next: String) = with(
        settings(next),
    ) { listOf(stateRequestsPerSecond, stateWritesPerSecond, maxValueKb, maxTransactionWrites) }

    @Test
    fun `for each field the lower of the current and the announced limit applies`() {
        assertEquals(listOf(80.0, 25.5, 2.0, 4), limits(""","next":{"rps":80,"write_rps":25.5,"value_kb":2,"txn_ops":4}"""))
        assertEquals(listOf(100.0, 50.0, 2.0, 12), limits(""","next":{"rps":200,"value_kb":2,"txn_ops":null,"other":"x"}"""))
    }

    @Test
    fun `without announced limits the current limits apply`() {
        val currentLimits = listOf(100.0, 50.0, 4.0, 12)
        assertEquals(currentLimits, limits(""))
        assertEquals(currentLimits, limits(""","next":null"""))
        assertEquals(currentLimits, limits(""","next":{}"""))
    }

    @ParameterizedTest
    @CsvSource(
        "'[]', state.next",
        "'7', state.next",
        "'{\"rps\":0}', state.next.rps",
        "'{\"write_rps\":-1}', state.next.write_rps",
        "'{\"value_kb\":\"2\"}', state.next.value_kb",
        "'{\"txn_ops\":false}', state.next.txn_ops",
        "'{\"txn_ops\":0.5}', txn_ops",
    )
    fun `the error for an invalid announced limit names the field`(next: String, field: String) {
        val exception = assertThrows(InvalidSettingException::class.java) { settings(""","next":$next""") }
        assertTrue(field in exception.message!!, exception.message)
    }
}
