package copperglade.coordination

import copperglade.protocol.BlockName
import copperglade.protocol.JobId
import copperglade.protocol.Stamp
import copperglade.storage.AssignmentPage
import copperglade.storage.Condition
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Urgency
import copperglade.storage.WorkPlace
import copperglade.storage.WorkRecord
import copperglade.storage.Write
import copperglade.transport.EventLoop
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes down what became of tasks. Outcomes of the same page of a job share one record, and the scarcer the write
 * budget, the longer they are gathered first.
 */
class OutcomeLog(private val loop: EventLoop, private val store: StateClient, private val replica: Replica) {
    private class Item(val owner: BlockOwner, val job: JobId, val page: Int) {
        val key get() = Triple(owner.name, job, page)
    }

    private val dirty = LinkedHashMap<Triple<BlockName, JobId, Int>, Item>()
    private val inFlight = HashSet<Triple<BlockName, JobId, Int>>()

    fun start() = flushLater()

    fun note(owner: BlockOwner, run: Run) {
        val item = Item(owner, run.task.job, run.task.index / Keys.PAGE_TASKS)
        dirty[item.key] = item
    }

    fun forget(owner: BlockOwner) {
        dirty.values.removeIf { it.owner === owner }
    }

    private fun flushLater() {
        val pause = SHORTEST_PAUSE + WIDEST_PAUSE * (1.0 - store.writeLevel())
        loop.after(pause) {
            flush()
            flushLater()
        }
    }

    private fun flush() {
        val ready = dirty.values.filter { it.key !in inFlight && it.owner.open }
        for (batch in ready.groupBy { it.owner }.values.flatMap { it.chunked(RECORDS_PER_WRITE) }) write(batch)
    }

    private fun write(batch: List<Item>) {
        val conditions = LinkedHashSet<Condition>()
        val writes = ArrayList<Write>()
        val written = ArrayList<Item>()
        val owner = batch.first().owner
        conditions += Condition(Keys.block(owner.name), Stamp(owner.baton.number))
        for (item in batch) {
            val job = replica.jobs[item.job]
            val place = WorkPlace(item.page, owner.name)
            val record = job?.let { news(owner, it, place) }
            if (job == null || record == null) {
                dirty.remove(item.key)
                continue
            }
            val key = Keys.work(item.job, item.page, owner.name)
            // The live record changes with a cancellation, after which nothing may become done any more.
            conditions += Condition(Keys.live(item.job), job.liveStamp())
            conditions += Condition(key, job.works[place]?.stamp ?: Stamp.ABSENT)
            writes += Write.Set(key, RecordCodec.encode(record))
            written += item
        }
        if (writes.isEmpty()) return
        val transaction = Transaction(conditions.toList(), writes)
        written.forEach {
            inFlight += it.key
            dirty.remove(it.key)
        }
        store.commit(Urgency.OUTCOME, transaction) { outcome -> finished(transaction, written, outcome) }
    }

    private fun finished(transaction: Transaction, written: List<Item>, outcome: TransactionOutcome) {
        if (outcome is TransactionOutcome.Applied) {
            written.forEach { inFlight -= it.key }
            replica.applied(transaction, outcome.stamp)
            return
        }
        // Whatever stood in the way, or became of the write: read first, then try what is still news.
        val again = {
            written.forEach {
                inFlight -= it.key
                dirty.putIfAbsent(it.key, it)
            }
        }
        if (outcome == TransactionOutcome.Refused) loop.after(AFTER_REFUSAL, again) else replica.fresh { loop.after(AFTER_CONFLICT, again) }
    }

    /** The record that says all that is known, or null where it says nothing new. */
    private fun news(owner: BlockOwner, job: Job, place: WorkPlace): WorkRecord? {
        val present = job.works[place]?.value ?: WorkRecord.EMPTY
        val done = present.done.clone() as BitSet
        val restarted = present.restarted.clone() as BitSet
        val returned = HashMap<Int, BitSet>()
        present.returned.forEach { (generation, tasks) -> returned[generation] = tasks.clone() as BitSet }
        var changed = false
        for (run in owner.runsOf(job.id)) {
            val index = run.task.index
            if (index / Keys.PAGE_TASKS != place.page) continue
            val gone = run.state == RunState.GONE || (run.state == RunState.DONE && job.cancelled)
            if (run.state == RunState.DONE && !gone) {
                changed = changed || !done.get(index)
                done.set(index)
            }
            if (gone) {
                val tasks = returned.getOrPut(run.generation) { BitSet() }
                changed = changed || !tasks.get(index)
                tasks.set(index)
            }
            if (run.restarted) {
                changed = changed || !restarted.get(index)
                restarted.set(index)
            }
        }
        return if (changed) WorkRecord(done, stillNeeded(returned, job.pages[place.page]?.value, owner.name), restarted) else null
    }

    /** Give-backs matter only as long as the lead's page still names the assignment. */
    private fun stillNeeded(returned: Map<Int, BitSet>, page: AssignmentPage?, block: BlockName): Map<Int, BitSet> {
        val needed = HashMap<Int, BitSet>()
        for (group in page?.groups.orEmpty()) {
            if (group.block != block) continue
            val tasks = (returned[group.generation] ?: continue).clone() as BitSet
            tasks.and(group.tasks)
            if (!tasks.isEmpty) needed[group.generation] = tasks
        }
        return needed
    }

    private companion object {
        const val RECORDS_PER_WRITE = 5
        val SHORTEST_PAUSE = 60.milliseconds
        val WIDEST_PAUSE = 900.milliseconds
        val AFTER_CONFLICT = 20.milliseconds
        val AFTER_REFUSAL = 300.milliseconds
    }
}
