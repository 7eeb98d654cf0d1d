package copperglade.sim

import copperglade.protocol.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Controllers that were unreachable for a minute or more return, also just as another fault occurs. */
class ReturningControllersTest {
    private val siteScale = SiteScale(machinesPerZone = 8, teamCpus = 200.0)

    private fun siteWithServices(seed: Long): SimSite {
        val site = SimSite(Simulation(seed), scale = siteScale)
        site.submitServices(12)
        site.run(40.0)
        assertEquals(48, site.runningTasks().size)
        return site
    }

    private fun SimSite.firstNodeExcept(excluded: Int) = (0 until nodes).first { it != excluded }

    /**
     * One controller has been down for a long time, and another loses its workers, which reach no controller until their leases have
     * expired; just then the first controller returns. The lost tasks run again as soon as the leases have expired, counted from the new
     * grant of the shards and not from the controller's return.
     */
    @ParameterizedTest
    @ValueSource(longs = [2501, 2502, 2503, 2504, 2505, 2506])
    fun `tasks lost in a shard takeover restart in time although a controller returns meanwhile`(seed: Long) {
        val site = siteWithServices(seed)
        val crashedNode = site.leader()!!
        site.crash(crashedNode, restartAfterMillis = 55_000.0 + RETURN_MILLIS)
        site.run(55.0)
        assertEquals(48, site.runningTasks().size)
        val cutNode = site.firstNodeExcept(crashedNode)
        site.loseRequestsFrom(site.workerNames().filter { site.ownerOf(it) == cutNode })
        site.cutController(cutNode, "workers")
        site.sim.after(RETURN_MILLIS - 500.0) { site.stopLosingMessages() }
        var lostReplicaSeconds = 0.0
        repeat(80) {
            site.run(0.5)
            lostReplicaSeconds += 0.5 * (48 - site.runningTasks().size)
        }
        assertEquals(48, site.runningTasks().size)
        assertTrue(lostReplicaSeconds > 0.0, "no lease expired")
        assertTrue(lostReplicaSeconds < MAX_LOST_REPLICA_SECONDS, "$lostReplicaSeconds replica-seconds were lost")
        site.assertRulesHold()
    }

    /** A controller is paused for at least a minute, longer than any lease, and sends its pending messages when it resumes. */
    @ParameterizedTest
    @ValueSource(longs = [2511, 2512, 2513, 2514])
    fun `a controller that was unreachable for a minute breaks no rule and regains its shards`(seed: Long) {
        val site = siteWithServices(seed)
        val pausedNode = site.leader()!!
        site.submitArrays(20)
        site.freezeController(pausedNode, 60_000.0 + site.sim.random.nextInt(20_000))
        site.run(20.0)
        val runningServices: Set<TaskId> = site
            .runningTasks()
            .keys
            .filter { it.job.text.length == "job-500".length }
            .toSet()
        assertEquals(48, runningServices.size)
        site.cancel(runningServices.first().job)
        site.run(80.0)
        val ownerNodes = site.workerNames().map(site::ownerOf).toSet()
        assertTrue(pausedNode in ownerNodes, "the resumed controller owns no workers again: $ownerNodes")
        site.assertRulesHold()
    }

    /** The next controller becomes unreachable as the previous one returns, twice. */
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
        /** Time from the cut to the return of the first controller: a little more than a lease. */
        const val RETURN_MILLIS = 12_000.0

        /** The sum over all replicas of the seconds in which a replica doesn't run. */
        const val MAX_LOST_REPLICA_SECONDS = 205.0
    }
}
