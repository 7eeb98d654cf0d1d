package copperglade.compat

import copperglade.protocol.Endpoint
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobStatus
import copperglade.protocol.MemberId
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.Simulation
import copperglade.standin.StandInState
import copperglade.storage.LeaderRecord
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import copperglade.storage.TaskIndexRanges
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Checks a replica that is loaded from records of the production version. The version in production and this version run side by side, so
 * each must read what the other writes. The samples were written by the production version; the expected values are literals, so that
 * renaming code doesn't change them.
 */
class ReplicaCompatibilityTest {
    private fun loadedReplica(): Replica {
        val simulation = Simulation(seed = 1)
        val network = SimNetwork(simulation)
        val loop = SimLoop(simulation)
        val endpoint = Endpoint("10.2.0.1", 2379)
        val state = StandInState(loop)
        ProductionFiles.snapshot.forEach { state.put(it.key, it.text.toByteArray()) }
        network.listen(endpoint, "state", loop, state)
        val limits = StateLimits(requestsPerSecond = 200.0, writesPerSecond = 50.0, valueKb = 4.0, transactionWrites = 12)
        val replica = Replica(loop, StateClient(loop, network.callerOf("lorry-0", loop), endpoint, limits))
        replica.start()
        simulation.run(forMillis = 5_000.0)
        return replica
    }

    @Test
    fun `a replica contains the jobs of the production version`() {
        val replica = loadedReplica()
        val live = replica.jobs.values
            .filter { it.live != null }
            .associate { it.id.text to it.status() }
        val expected = mapOf(
            "job-500" to JobStatus.RUNNING,
            "job-601" to JobStatus.RUNNING,
            "job-602" to JobStatus.CANCELLED,
            "job-603" to JobStatus.QUEUED,
            "job-604" to JobStatus.QUEUED,
            "job-605" to JobStatus.CANCELLED,
        ) + (2..7).associate { "job-$it" to JobStatus.QUEUED }
        assertEquals(expected, live)
        // Ranges of ended jobs stay in their packed records until these records are written again.
        assertEquals(
            setOf("job-1", "job-501"),
            replica.jobs.keys
                .map { it.text }
                .toSet() - live.keys,
        )
        assertEquals("0-5", TaskIndexRanges.format(replica.jobs.getValue(JobId("job-1")).done))
        assertEquals(JobStatus.DONE, replica.endRecordOf(JobId("job-1"))?.status)
        assertEquals(JobStatus.CANCELLED, replica.endRecordOf(JobId("job-501"))?.status)
    }

    @Test
    fun `a replica contains the assignments of the production version without the returned tasks`() {
        val replica = loadedReplica()
        assertEquals(listOf("south.0 9 1: 0-2"), assignments(replica, "job-500"))
        assertEquals(listOf("south.1 10 1: 0-2"), assignments(replica, "job-601"))
        assertEquals(listOf("south.1 10 1: 0-1", "north.2 11 2: 2-3"), assignments(replica, "job-602"))
        assertEquals(listOf("north.2 11 1: 0-47", "south.1 10 2: 112-159"), assignments(replica, "job-605"))
        assertEquals(emptyList<String>(), assignments(replica, "job-501"))
        assertEquals(emptyList<String>(), assignments(replica, "job-2"))
    }

    private fun assignments(replica: Replica, job: String): List<String> =
        replica.jobs
            .getValue(JobId(job))
            .assignments()
            .groupBy { "${it.shard} ${it.fencingToken} ${it.generation}" }
            .map { (group, taskAssignments) ->
                "$group: ${taskAssignments.first().task}-${taskAssignments.last().task}".also {
                    assertEquals(taskAssignments.size, span(taskAssignments.map { it.task }))
                }
            }

    private fun span(tasks: List<Int>) = tasks.last() - tasks.first() + 1

    @Test
    fun `a replica contains the shards, members, images and leader of the production version`() {
        val replica = loadedReplica()
        val owners = replica.shards.entries.associate { (name, record) ->
            name.text to "${record.value.member} ${record.value.incarnation}"
        }
        val expected = mapOf(
            "north.0" to "lorry-0 3",
            "north.1" to "lorry-2 2",
            "north.2" to "lorry-1 1",
            "south.0" to "lorry-1 1",
            "south.1" to "lorry-0 3",
            "south.2" to "lorry-2 2",
        )
        assertEquals(expected, owners)
        val members = replica.members.entries.associate { (id, record) -> id.text to record.value.incarnation.number }
        assertEquals(mapOf("lorry-0" to 3L, "lorry-1" to 1L, "lorry-2" to 2L), members)
        assertEquals(LeaderRecord(MemberId("lorry-1"), Incarnation(1)), replica.leader?.value)
        assertEquals(
            setOf("north.1", "north.2", "south.0", "south.1"),
            replica.images.keys
                .map { it.text }
                .toSet(),
        )
        val keys = setOf("task/array/0", "task/service/0", "work/north.1/0", "work/south.0/0", "work/south.1/0")
        assertEquals(keys.map { "cg/now/$it" }.toSet(), replica.packedRecords.keys)
    }
}
