package copperglade.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** One short run on real processes; more of them by hand, see `docs/operations.md`. Needs the built jar. */
class ControllerSoakIT {
    @Test
    fun `real processes keep the rules under compound faults`() {
        val result = playAll(SoakOptions(firstSeed = SEED, faultPhaseS = 24, workers = 8)).single()
        assertEquals(Verdict.PASSED, result.verdict, "${result.why}; ${result.figures}; kept in ${result.folder.toAbsolutePath()}")
    }

    private companion object {
        const val SEED = 1L
    }
}
