package copperglade.sim

import copperglade.protocol.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Controllers that were silent for a minute or more come back, also just as something else goes wrong. */
class ReturningControllersTest {
    private val fleet = SiteScale(machinesPerZone = 8, teamCpus = 200.0)

    private fun siteWithServices(seed: Long): SimSite {
        val site = SimSite(Simulation(seed), scale = fleet)
        site.submitServices(12)
        site.run(40.0)
        assertEquals(48, site.runningTasks().size)
        return site
    }

    private fun SimSite.anyOther(than: Int) = (0 until nodes).first { it != than }

    /**
     * One controller has been down for long, and another loses its workers, which reach nobody until their leases have run
     * out; just then the first comes back. What was lost runs again as soon as the leases are over, counted from the new grant
     * of the shards and not from that return.
     */
    @ParameterizedTest
    @ValueSource(longs = [2501, 2502, 2503, 2504, 2505, 2506])
    fun `tasks lost in a shard takeover restart in time although a controller returns meanwhile`(seed: Long) {
        val site = siteWithServices(seed)
        val down = site.leader()!!
        site.crash(down, restartAfterMillis = 55_000.0 + RETURN_MS)
        site.run(55.0)
        assertEquals(48, site.runningTasks().size)
        val cut = site.anyOther(down)
        site.loseRequestsFrom(site.workerNames().filter { site.ownerOf(it) == cut })
        site.cutController(cut, "workers")
        site.sim.after(RETURN_MS - 500.0) { site.stopLosingMessages() }
        var lostReplicaS = 0.0
        repeat(80) {
            site.run(0.5)
            lostReplicaS += 0.5 * (48 - site.runningTasks().size)
        }
        assertEquals(48, site.runningTasks().size)
        assertTrue(lostReplicaS > 0.0, "no lease ran out")
        assertTrue(lostReplicaS < MAX_LOST_REPLICA_S, "$lostReplicaS s of replicas were lost")
        site.assertRulesHold()
    }

    /** It is paused for a minute, longer than any lease, and resumes with all that it was about to send. */
    @ParameterizedTest
    @ValueSource(longs = [2511, 2512, 2513, 2514])
    fun `a controller that was unreachable for a minute breaks no rule and regains its shards`(seed: Long) {
        val site = siteWithServices(seed)
        val silent = site.leader()!!
        site.submitArrays(20)
        site.freezeController(silent, 60_000.0 + site.sim.random.nextInt(20_000))
        site.run(20.0)
        val before: Set<TaskId> = site
            .runningTasks()
            .keys
            .filter { it.job.text.length == "job-500".length }
            .toSet()
        assertEquals(48, before.size)
        site.cancel(before.first().job)
        site.run(80.0)
        val owners = site.workerNames().map(site::ownerOf).toSet()
        assertTrue(silent in owners, "it has no workers again: $owners")
        site.assertRulesHold()
    }

    /** The next one goes silent as the former comes back, twice. */
    @ParameterizedTest
    @ValueSource(longs = [2521, 2522, 2523, 2524])
    fun `controllers that become unreachable in turn break no rule`(seed: Long) {
        val site = siteWithServices(seed)
        site.submitArrays(20)
        repeat(3) { number ->
            val restartAfterMillis = 62_000.0 + site.sim.random.nextInt(4_000)
            if (number % 2 == 0) site.crash(number, restartAfterMillis) else site.freezeController(number, restartAfterMillis)
            site.run(61.0 + site.sim.random.nextInt(4))
        }
        site.run(10.0)
        site.assertRulesHold()
    }

    private companion object {
        /** How long after the cut the first controller is back: a little more than a lease. */
        const val RETURN_MS = 12_000.0

        /** Seconds in which one replica doesn't run, all added up. */
        const val MAX_LOST_REPLICA_S = 205.0
    }
}
