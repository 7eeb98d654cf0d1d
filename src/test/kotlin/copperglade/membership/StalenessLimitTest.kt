package copperglade.membership

import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Guards against cancelled tasks that still run after `cancel_s`: the sum of the staleness limit and the worker lease stays below
 * `cancel_s`, including clock drift, or the settings are rejected.
 */
class StalenessLimitTest {
    @Test
    fun `accepted settings keep the staleness limit and the worker lease below cancel_s`() {
        val random = Random(1)
        var accepted = 0
        repeat(20_000) {
            val leaseSeconds = 1.0 + random.nextDouble() * 60.0
            val cancelSeconds = leaseSeconds + 0.01 + random.nextDouble() * random.nextDouble() * 60.0
            val operatorSettings = OperatorSettings(stalenessMargin = (500 + random.nextInt(8000)).milliseconds)
            val limit = try {
                StalenessLimit.of(leaseSeconds, cancelSeconds, operatorSettings).toDouble(DurationUnit.SECONDS)
            } catch (_: InvalidSettingException) {
                return@repeat
            }
            accepted++
            // Both clocks may run 0.05% slower than the user's; a timer is a few milliseconds late.
            val stoppedAfterSeconds = (limit + leaseSeconds) * 1.001 + 0.02
            assertTrue(stoppedAfterSeconds < cancelSeconds, "$stoppedAfterSeconds s of $cancelSeconds with a lease of $leaseSeconds")
        }
        assertTrue(accepted > 10_000, "$accepted accepted")
    }

    @Test
    fun `settings that leave no time to act are rejected with the name of the setting`() {
        val exception = assertThrows(InvalidSettingException::class.java) { StalenessLimit.of(10.0, 11.0, OperatorSettings()) }
        assertTrue("cancel_s" in exception.message!!)
        val marginException =
            assertThrows(InvalidSettingException::class.java) {
                StalenessLimit.of(10.0, 30.0, OperatorSettings(stalenessMargin = 19_500.milliseconds))
            }
        assertTrue("hold.margin.s" in marginException.message!!)
    }
}
