package copperglade.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class JobSpecCodecTest {
    private val submission = """{"nameId":"job-7","load":"l","crew":"t","haul":"array","urgency":"normal","boxes":3,"vcpus":1.0,
        "gpus":0.0,"memoryGb":2.0,"manifest":"img-1","pullGb":1.0,"fleets":["a"],"depot":null,"oneZone":false,"spread":true,
        "borrowed":true,"etaS":5.0,"waypointS":0.0,"unloadS":0.0,"dueS":20.0,"new":"field"}"""

    @Test
    fun `an encoded job decodes to the same job`() {
        val spec = (JobSpecCodec.parse(Json.read(submission.toByteArray())) as ParsedSubmission.Valid).spec
        val decoded = (
            JobSpecCodec.parse(
                Json.read(Json.write { JobSpecCodec.write(this, spec) }),
            ) as ParsedSubmission.Valid
        ).spec
        assertEquals(spec.id, decoded.id)
        assertEquals(spec.request, decoded.request)
        assertEquals(listOf("a"), decoded.types)
        assertEquals(2, decoded.maxTasksPerZone)
        assertNull(decoded.zone)
    }

    @ParameterizedTest
    @CsvSource(
        "'\"boxes\":3', '\"boxes\":0', boxes",
        "'\"boxes\":3', '\"boxes\":100001', boxes",
        "'\"boxes\":3', '\"boxes\":2.5', boxes",
        "'\"boxes\":3', '\"boxes\":\"3\"', boxes",
        "'\"vcpus\":1.0', '\"vcpus\":-1', vcpus",
        "'\"vcpus\":1.0', '\"vcpus\":1e300', vcpus",
        "'\"urgency\":\"normal\"', '\"urgency\":\"soon\"', urgency",
        "'\"haul\":\"array\"', '\"haul\":null', haul",
        "'\"fleets\":[\"a\"]', '\"fleets\":[1]', fleets",
        "'\"nameId\":\"job-7\"', '\"nameId\":\"task-7\"', nameId",
        "'\"oneZone\":false,', '', oneZone",
        "'\"dueS\":20.0', '\"dueS\":\"late\"', dueS",
    )
    fun `an invalid submission is rejected with the name of the invalid field`(original: String, replacement: String, field: String) {
        val parsed = JobSpecCodec.parse(Json.read(submission.replace(original, replacement).toByteArray()))
        assertEquals(field, (parsed as ParsedSubmission.Invalid).error.field)
    }
}
