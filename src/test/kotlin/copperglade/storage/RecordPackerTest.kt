package copperglade.storage

import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.SimSite
import copperglade.sim.Simulation
import copperglade.standin.ServiceLimits
import copperglade.standin.StandInState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/** Compares packed records with a plain map of entries, with many writes in flight at a time and some writes applied late. */
class RecordPackerTest {
    /**
     * One writer of packed records, the stand-in state service, and a plain map of the written entries ([model]).
     *
     * @param lateWriteOneIn one write in this many gets no answer and is applied seconds later; 0 for no late writes.
     * @param resolvesUnknownOutcomes whether the writer resolves writes without an answer before it writes the same entries again.
     */
    private class PackerFixture(
        seed: Long,
        private val lateWriteOneIn: Int = 0,
        private val resolvesUnknownOutcomes: Boolean = true,
        private var limits: StateLimits = StateLimits(1e6, 1e6, 4.0, 12),
        private val jobs: Int = JOBS,
    ) {
        val sim = Simulation(seed)
        private val network = SimNetwork(sim)
        private val loop = SimLoop(sim)
        val service = StandInState(loop)
        private val store = StateClient(loop, network.callerOf("writer", loop), AT, limits)
        val replica = Replica(loop, store).also { it.start() }
        private var packer = packer()
        private val unresolvedWrites =
            UnresolvedWrites(loop, store, replica, WritePriority.ASSIGNMENT) { Condition("cg/now/none", Revision.ABSENT) }
        val model = HashMap<TaskRange, String>()
        val lateWrites get() = network.lateWrites

        init {
            network.listen(AT, "state", loop, service)
            sim.run(500.0)
            repeat(jobs) { put(Keys.live(JobId("job-$it")), RecordCodec.encode(LiveRecord(SimSite.job(it, tasks = 300), 0, false))) }
            sim.run(500.0)
            network.lateWriteOneIn = lateWriteOneIn
        }

        private fun packer() = RecordPacker(
            replica,
            limits,
            Keys.assignmentRecords(JobKind.ARRAY),
            { job, rangeIndex -> job.assignmentRanges[rangeIndex] },
            { job, rangeIndex -> job.assignmentRanges[rangeIndex]?.let { RecordCodec.encode(it.value) } },
        )

        /** Replaces the writer by one with lower limits, and makes the service enforce these limits. */
        fun lowerLimits(valueKb: Double, transactionWrites: Int) {
            limits = StateLimits(1e6, 1e6, valueKb, transactionWrites)
            service.limits = ServiceLimits(limits.valueBytes, transactionWrites, 1e6)
            packer = packer()
        }

        fun packedRecordSizes(): List<Int> =
            service.keys(Keys.assignmentRecords(JobKind.ARRAY)).map { service.text(it)!!.toByteArray().size }

        private fun put(key: String, value: ByteArray) {
            val transaction = Transaction(emptyList(), listOf(Write.Set(key, value)))
            store.commit(
                WritePriority.LEASE,
                transaction,
            ) { if (it is TransactionOutcome.Applied) replica.applyCommitted(transaction, it.revision) }
        }

        private val former = FormerRecordPacker(
            replica,
            StateLimits(1e6, 1e6, 8.0, 12),
            Keys.assignmentRecords(JobKind.ARRAY),
            { job, rangeIndex -> job.assignmentRanges[rangeIndex] },
            { job, rangeIndex -> job.assignmentRanges[rangeIndex]?.let { RecordCodec.encode(it.value) } },
        )

        /** Runs one round of the former version's packer. No write of the current packer may be in flight. */
        fun formerStep() {
            service.limits = null
            val changes = randomChanges { job, rangeIndex -> former.isReady(job, rangeIndex) }
            for (packedWrite in former.pack(changes.mapValues { RecordCodec.encode(it.value) })) {
                val transaction = Transaction(packedWrite.conditions, packedWrite.writes)
                former.markInFlight(packedWrite)
                store.commit(WritePriority.ASSIGNMENT, transaction) { outcome ->
                    if (outcome is TransactionOutcome.Applied) {
                        packedWrite.ranges.forEach { model[it] = RecordCodec.encode(changes.getValue(it)).decodeToString() }
                        replica.applyCommitted(transaction, outcome.revision)
                    }
                    loop.after(sim.random.nextInt(40).milliseconds) { former.clearInFlight(packedWrite) }
                }
            }
            sim.run(sim.random.nextInt(12).toDouble())
        }

        fun pack(changes: Map<TaskRange, ByteArray>) = packer.pack(changes)

        fun step() {
            val changes = randomChanges(packer::isReady)
            for (packedWrite in packer.pack(changes.mapValues { RecordCodec.encode(it.value) })) {
                assertTrue(packedWrite.write.value.size <= limits.valueBytes)
                assertTrue(
                    packer
                        .rewriteUnchanged(packedWrite)
                        .write.value.size <= limits.valueBytes,
                )
                val transaction = Transaction(listOf(packedWrite.condition), listOf(packedWrite.write))
                packer.markInFlight(packedWrite)
                store.commit(WritePriority.ASSIGNMENT, transaction) { outcome ->
                    if (outcome is TransactionOutcome.Applied) {
                        packedWrite.ranges.forEach { model[it] = RecordCodec.encode(changes.getValue(it)).decodeToString() }
                        replica.applyCommitted(transaction, outcome.revision)
                    }
                    if (outcome == TransactionOutcome.Unknown && resolvesUnknownOutcomes) {
                        unresolvedWrites.resolve(packedWrite, isOwner = { true }) {
                            packedWrite.ranges.forEach(::recordAsWritten)
                            packer.clearInFlight(packedWrite)
                        }
                        return@commit
                    }
                    // The outcome is processed shortly after the write takes effect, as after a conflict.
                    loop.after(sim.random.nextInt(40).milliseconds) { packer.clearInFlight(packedWrite) }
                }
            }
            sim.run(sim.random.nextInt(12).toDouble())
        }

        private fun randomChanges(isReady: (Job, Int) -> Boolean): Map<TaskRange, AssignmentRange> {
            val changes = LinkedHashMap<TaskRange, AssignmentRange>()
            repeat(1 + sim.random.nextInt(6)) {
                val range = TaskRange(JobId("job-${sim.random.nextInt(jobs)}"), sim.random.nextInt(2))
                val job = replica.jobs.getValue(range.job)
                if (!isReady(job, range.index)) return@repeat
                val present = job.assignmentRanges[range.index]?.value ?: AssignmentRange.EMPTY
                val tasks = BitSet().apply { repeat(1 + sim.random.nextInt(80)) { set(sim.random.nextInt(256)) } }
                val group = AssignmentGroup(ShardName("zone.${sim.random.nextInt(9)}"), FencingToken(7), present.lastGeneration + 1, tasks)
                changes[range] = AssignmentRange(listOf(group), BitSet(), present.lastGeneration + 1, 256, present.version + 1)
            }
            return changes
        }

        /** Copies the entry of [range] from the replica to the model, after a write without an answer was resolved. */
        private fun recordAsWritten(range: TaskRange) {
            replica.jobs[range.job]
                ?.assignmentRanges
                ?.get(range.index)
                ?.let { model[range] = RecordCodec.encode(it.value).decodeToString() }
        }

        fun readAllEntries(): Map<TaskRange, String> {
            sim.run(if (lateWriteOneIn > 0) 16_000.0 else 2000.0)
            val reader = Replica(loop, StateClient(loop, network.callerOf("reader", loop), AT, limits)).also { it.start() }
            sim.run(2000.0)
            return reader.jobs.values
                .flatMap { job ->
                    job.assignmentRanges.map { (rangeIndex, entry) ->
                        TaskRange(job.id, rangeIndex) to
                            RecordCodec.encode(entry.value).decodeToString()
                    }
                }.toMap()
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a new replica reads the last written version of every entry`(seed: Long) {
        val fixture = PackerFixture(seed)
        repeat(40) {
            repeat(12) { fixture.step() }
            assertEquals(fixture.model, fixture.readAllEntries())
        }
        assertTrue(fixture.model.size > 50)
    }

    @ParameterizedTest
    @ValueSource(longs = [5, 6, 7, 8])
    fun `a new replica reads the last written version of every entry although some writes are applied late`(seed: Long) {
        val fixture = PackerFixture(seed, lateWriteOneIn = 6)
        repeat(12) {
            repeat(12) { fixture.step() }
            assertEquals(fixture.model, fixture.readAllEntries())
        }
        assertTrue(fixture.lateWrites > 20, "expected more than 20 late writes, but only ${fixture.lateWrites} were late")
    }

    @Test
    fun `entries are lost or stale if late writes are not resolved, and the test detects this`() {
        val failing = (5L..8L).any { seed ->
            val fixture = PackerFixture(seed, lateWriteOneIn = 6, resolvesUnknownOutcomes = false)
            (1..12).any {
                repeat(12) { fixture.step() }
                fixture.model != fixture.readAllEntries()
            }
        }
        assertTrue(failing)
    }

    @ParameterizedTest
    @CsvSource("11, 0", "12, 0", "13, 0", "14, 6", "15, 6", "16, 6", "17, 6")
    fun `after the limits are lowered, no entry is lost and no write exceeds the new limits`(seed: Long, lateWriteOneIn: Int) {
        val fixture = PackerFixture(seed, lateWriteOneIn, limits = StateLimits(1e6, 1e6, 8.0, 12), jobs = 3 * JOBS)
        repeat(200) { fixture.step() }
        assertEquals(fixture.model, fixture.readAllEntries())
        assertTrue(fixture.packedRecordSizes().max() > LOWERED_BYTES, "${fixture.packedRecordSizes()}")
        fixture.lowerLimits(2.0, 4)
        repeat(20) {
            repeat(12) { fixture.step() }
            assertEquals(fixture.model, fixture.readAllEntries())
        }
        assertEquals(0, fixture.service.limitRefusals.malformed, "${fixture.service.limitRefusals}")
        // Nearly every entry has moved by now, so that the large packed records could be rewritten.
        assertTrue(fixture.packedRecordSizes().max() <= LOWERED_BYTES, "${fixture.packedRecordSizes()}")
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24])
    fun `no entry is lost when the former and the current packer alternately write the same packed records`(seed: Long) {
        val fixture = PackerFixture(seed, jobs = 3 * JOBS)
        repeat(6) { turn ->
            repeat(3) {
                repeat(25) { fixture.formerStep() }
                assertEquals(fixture.model, fixture.readAllEntries())
            }
            if (turn == 0) assertTrue(fixture.packedRecordSizes().max() > LOWERED_BYTES, "${fixture.packedRecordSizes()}")
            fixture.lowerLimits(2.0, 4)
            repeat(3) {
                repeat(25) { fixture.step() }
                assertEquals(fixture.model, fixture.readAllEntries())
            }
            assertEquals(0, fixture.service.limitRefusals.malformed, "${fixture.service.limitRefusals}")
        }
    }

    @Test
    fun `an entry that is too large for any value is left out, and the other entries are written`() {
        val fixture = PackerFixture(1)
        fixture.lowerLimits(0.25, 4)
        val small = "{\"v\":1}".toByteArray()
        val large = ByteArray(256) { '1'.code.toByte() }
        val writes = fixture.pack(mapOf(TaskRange(JobId("job-1"), 0) to large, TaskRange(JobId("job-2"), 0) to small))
        assertEquals(listOf(setOf(TaskRange(JobId("job-2"), 0))), writes.map { it.ranges })
    }

    private companion object {
        const val LOWERED_BYTES = 2048
        const val JOBS = 40
        val AT = Endpoint("10.2.0.1", 2379)
    }
}
