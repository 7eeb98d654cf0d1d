package copperglade.storage

import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.Endpoint
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.Stamp
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.SimSite
import copperglade.sim.Simulation
import copperglade.standin.StandInState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/** Sheets against a plain map of pages, with many writes under way at a time and some of them applied twice over. */
class SheetPackerTest {
    /** With [lateOneIn], one write in so many has no answer and is applied seconds later; [settles]: the writer sees to its end. */
    private class Bench(seed: Long, private val lateOneIn: Int = 0, private val settles: Boolean = true) {
        val sim = Simulation(seed)
        private val network = SimNetwork(sim)
        private val loop = SimLoop(sim)
        private val service = StandInState(loop)
        private val limits = StateLimits(1e6, 1e6, 4.0, 12)
        private val store = StateClient(loop, network.callerOf("writer", loop), AT, limits)
        val replica = Replica(loop, store).also { it.start() }
        private val packer = SheetPacker(
            replica,
            limits,
            Keys.sheetsOf(JobKind.ARRAY),
            { job, page -> job.pages[page] },
            { job, page -> job.pages[page]?.let { RecordCodec.encode(it.value) } },
        )
        private val unsettled = UnsettledSheets(loop, store, replica, Urgency.ASSIGNMENT) { Condition("cg/now/none", Stamp.ABSENT) }
        val model = HashMap<JobPage, String>()
        val late get() = network.lateWrites

        init {
            network.listen(AT, "state", loop, service)
            sim.run(500.0)
            repeat(JOBS) { put(Keys.live(JobId("job-$it")), RecordCodec.encode(LiveRecord(SimSite.job(it, tasks = 300), 0, false))) }
            sim.run(500.0)
            network.lateWriteOneIn = lateOneIn
        }

        private fun put(key: String, value: ByteArray) {
            val transaction = Transaction(emptyList(), listOf(Write.Set(key, value)))
            store.commit(Urgency.HOLD, transaction) { if (it is TransactionOutcome.Applied) replica.applied(transaction, it.stamp) }
        }

        fun step() {
            val changes = LinkedHashMap<JobPage, ByteArray>()
            val pages = HashMap<JobPage, AssignmentPage>()
            repeat(1 + sim.random.nextInt(6)) {
                val place = JobPage(JobId("job-${sim.random.nextInt(JOBS)}"), sim.random.nextInt(2))
                val job = replica.jobs.getValue(place.job)
                if (!packer.ready(job, place.page)) return@repeat
                val present = job.pages[place.page]?.value ?: AssignmentPage.EMPTY
                val tasks = BitSet().apply { repeat(1 + sim.random.nextInt(80)) { set(sim.random.nextInt(256)) } }
                val group = AssignmentGroup(BlockName("zone.${sim.random.nextInt(9)}"), Baton(7), present.lastGeneration + 1, tasks)
                val page = AssignmentPage(listOf(group), BitSet(), present.lastGeneration + 1, 256, present.version + 1)
                pages[place] = page
                changes[place] = RecordCodec.encode(page)
            }
            for (sheet in packer.pack(changes)) {
                sheet.writes.forEach { assertTrue((it as Write.Set).value.size <= 4096) }
                val transaction = Transaction(sheet.conditions, sheet.writes)
                packer.begin(sheet)
                store.commit(Urgency.ASSIGNMENT, transaction) { outcome ->
                    if (outcome is TransactionOutcome.Applied) {
                        sheet.places.forEach { model[it] = RecordCodec.encode(pages.getValue(it)).decodeToString() }
                        replica.applied(transaction, outcome.stamp)
                    }
                    if (outcome == TransactionOutcome.Unknown && settles) {
                        unsettled.settle(sheet, ours = { true }) {
                            sheet.places.forEach(::adopt)
                            packer.end(sheet)
                        }
                        return@commit
                    }
                    // Its end is known a little later than its effect, as after a conflict.
                    loop.after(sim.random.nextInt(40).milliseconds) { packer.end(sheet) }
                }
            }
            sim.run(sim.random.nextInt(12).toDouble())
        }

        /** What has become of a page whose write had no answer. */
        private fun adopt(place: JobPage) {
            replica.jobs[place.job]
                ?.pages
                ?.get(place.page)
                ?.let { model[place] = RecordCodec.encode(it.value).decodeToString() }
        }

        fun reread(): Map<JobPage, String> {
            sim.run(if (lateOneIn > 0) 16_000.0 else 2000.0)
            val fresh = Replica(loop, StateClient(loop, network.callerOf("reader", loop), AT, limits)).also { it.start() }
            sim.run(2000.0)
            return fresh.jobs.values
                .flatMap { job ->
                    job.pages.map { (page, packed) ->
                        JobPage(job.id, page) to
                            RecordCodec.encode(packed.value).decodeToString()
                    }
                }.toMap()
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a new reader finds every page as it was written last`(seed: Long) {
        val bench = Bench(seed)
        repeat(40) {
            repeat(12) { bench.step() }
            assertEquals(bench.model, bench.reread())
        }
        assertTrue(bench.model.size > 50)
    }

    @ParameterizedTest
    @ValueSource(longs = [5, 6, 7, 8])
    fun `a write that is carried out late leaves every page in one sheet, as it was written last`(seed: Long) {
        val bench = Bench(seed, lateOneIn = 6)
        repeat(12) {
            repeat(12) { bench.step() }
            assertEquals(bench.model, bench.reread())
        }
        assertTrue(bench.late > 20, "${bench.late} writes were late")
    }

    @Test
    fun `a writer that does not see to the end of such writes is caught`() {
        val mistaken = (5L..8L).any { seed ->
            val bench = Bench(seed, lateOneIn = 6, settles = false)
            (1..12).any {
                repeat(12) { bench.step() }
                bench.model != bench.reread()
            }
        }
        assertTrue(mistaken)
    }

    private companion object {
        const val JOBS = 40
        val AT = Endpoint("10.2.0.1", 2379)
    }
}
