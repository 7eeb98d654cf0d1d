package copperglade.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class ServiceLevelObjectivesTest {
    private fun settings(objectives: String?) = PlatformSettingsParser
        .parse(
            """{"member":"a","location":"z","client_listen":"10.0.0.1:1","cluster_listen":"10.0.0.1:2","known":[],
        "outside":{"cloud":"10.0.0.2:1","state":"10.0.0.2:2"},"deployment":{"zones":["z"],"teams":[],
        ${objectives?.let { "\"objectives\":$it," }.orEmpty()}
        "workers":{"report_s":1,"lease_s":5,"cancel_s":20},"state":{"rps":1,"write_rps":1,"value_kb":1,"txn_ops":1},
        "cloud":{"rps":1,"list_lag_s":1},"resources":{"fd_limit":100}}}""".toByteArray(),
        ).objectives

    @Test
    fun `the latest end of a job follows from its objectives for starting and finishing`() {
        val parsed = settings(
            """[{"kind":"wait","class":"render","within_s":150,"share":0.9},{"kind":"finished","class":"render","within_s":250},
            {"kind":"finished","class":"check","within_s":180},{"kind":"of another day","class":7},
            {"kind":"deadline","class":"render","times":1.5},{"kind":"deadline","class":"render"},{"kind":"guarantee","within_s":3}]""",
        )
        assertEquals(170.0, parsed.latestEndSeconds("render", 20.0))
        assertEquals(250.0, parsed.latestEndSeconds("render", 120.0))
        assertEquals(180.0, parsed.latestEndSeconds("check", 20.0))
        assertNull(parsed.latestEndSeconds("web", 20.0))
        assertEquals(listOf(1.0, 1.5), parsed.deadlineMultiples["render"])
        assertEquals(3.0, parsed.guaranteeWithinSeconds)
    }

    @Test
    fun `without objectives no job has a latest end`() = assertNull(settings(null).latestEndSeconds("render", 20.0))

    @ParameterizedTest
    @CsvSource(
        "'{\"kind\":\"wait\",\"class\":\"render\"}', within_s",
        "'{\"kind\":\"finished\",\"class\":\"render\",\"within_s\":-1}', within_s",
        "'{\"kind\":\"finished\",\"within_s\":5}', class",
        "'{\"kind\":\"deadline\",\"class\":\"render\",\"times\":0}', times",
        "'{\"kind\":\"guarantee\",\"within_s\":\"soon\"}', within_s",
    )
    fun `the error for an invalid objective names the field`(objective: String, field: String) {
        val exception = assertThrows(InvalidSettingException::class.java) { settings("[$objective]") }
        assertTrue(field in exception.message!!, exception.message)
    }
}
