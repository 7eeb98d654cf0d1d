package copperglade.sim

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Duplicates of heartbeats that arrive long after newer heartbeats. */
class DuplicateHeartbeatTest {
    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54, 55, 56])
    fun `late duplicates of heartbeats change nothing`(seed: Long) {
        val site = SimSite(Simulation(seed))
        site.network.duplicateOneIn = 3
        site.submitServices(4)
        site.submitArrays(14)
        repeat(6) {
            site.sim.after(15_000.0 + site.sim.random.nextInt(60_000)) {
                when (site.sim.random.nextInt(5)) {
                    0 -> site.crash(site.sim.random.nextInt(site.nodes), 200.0)
                    1 -> site.killMachine(site.sim.random.nextInt(4))
                    2 -> site.rebootMachine(site.sim.random.nextInt(4))
                    3 -> site.cutMachine(site.sim.random.nextInt(4)).also { site.sim.after(15_000.0) { site.heal() } }
                    else -> site.cutController(site.sim.random.nextInt(site.nodes)).also { site.sim.after(9_000.0) { site.heal() } }
                }
            }
        }
        site.run(100.0)
        site.assertRulesHoldOnceHealed()
    }

    @Test
    fun `the referee detects what duplicates would cause without sequence numbers`() {
        val sites = (57L..60L).map { seed ->
            val site = SimSite(Simulation(seed))
            site.network.duplicateOneIn = 2
            site.network.tamperDuplicate = { body ->
                body
                    .decodeToString()
                    .replace(Regex("\"tally\":[0-9]+"), "\"tally\":999999")
                    .replace("\"status\":\"running\"", "\"status\":\"ended\",\"cause\":\"done\"")
                    .encodeToByteArray()
            }
            site.submitServices(4)
            site.submitArrays(14)
            site.run(120.0)
            site
        }
        val breaches = sites.flatMap { it.breaches }
        assertTrue(breaches.any { it.startsWith("not_done") }, "not_done was not detected: $breaches")
    }
}
