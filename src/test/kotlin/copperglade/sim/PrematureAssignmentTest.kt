package copperglade.sim

import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.Json
import copperglade.protocol.ShardName
import copperglade.protocol.longOrNull
import copperglade.protocol.writeJsonObject
import copperglade.storage.AssignmentGroup
import copperglade.storage.AssignmentRange
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.TaskRange
import copperglade.transport.Method
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** Shard owners must not start early what a leader of an earlier version, which ignores dependencies, may have assigned. */
class PrematureAssignmentTest {
    private fun SimSite.revisionOf(key: String): Long {
        var revision = 0L
        state.handle(Request(Method.GET, "/kv/$key")) { revision = Json.read(it.body)!!.longOrNull("stamp")!! }
        return revision
    }

    /** Writes assignments of one task of [job] to each existing shard, whatever the job's dependencies. */
    private fun SimSite.assignToEveryShard(job: JobId) {
        val shards = state.keys("${Keys.CURRENT}block/")
        val groups = shards.mapIndexed { task, key ->
            val token = FencingToken(revisionOf(key))
            AssignmentGroup(ShardName(key.substringAfterLast('/')), token, 1, BitSet().also { it.set(task) })
        }
        val assignments = AssignmentRange(groups, BitSet(), 1, shards.size, 1)
        val record = RecordCodec.encodePackedRecord(mapOf(TaskRange(job, 0) to RecordCodec.encode(assignments)))
        val body = Json.write {
            writeJsonObject {
                writeArrayFieldStart("writes")
                writeJsonObject {
                    writeStringField("set", "${Keys.assignmentRecords(JobKind.ARRAY)}900")
                    writeFieldName("data")
                    writeRawValue(record.decodeToString())
                }
                writeEndArray()
            }
        }
        state.handle(Request(Method.POST, "/multi", body)) { assertEquals(200, it.status) }
    }

    @Test
    fun `a task that was assigned too early is not started before its job's dependencies are done`() {
        val site = SimSite(Simulation(71))
        site.submit(SimSite.job(1, tasks = 8, cpus = 1.0, estimatedSeconds = 30.0)) { 30.0 }
        site.submit(SimSite.job(2, tasks = 6, cpus = 1.0), listOf(JobId("job-1"))) { 3.0 }
        site.await(40.0) { site.runningTasks().keys.any { it.job == JobId("job-1") } }
        site.assignToEveryShard(JobId("job-2"))
        site.run(15.0)
        assertTrue(site.users.getValue(JobId("job-1")).completedAtMillis == null, "job-1 ended before the check")
        site.assertRulesHold()
    }
}
