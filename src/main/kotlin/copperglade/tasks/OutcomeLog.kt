package copperglade.tasks

import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.storage.AssignmentRange
import copperglade.storage.Condition
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.OutcomeRecord
import copperglade.storage.PackedWrite
import copperglade.storage.RecordCodec
import copperglade.storage.RecordPacker
import copperglade.storage.Replica
import copperglade.storage.ShardTaskRange
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.UnresolvedWrites
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes down what became of a shard's tasks. Outcomes of many jobs share a packed record, and are gathered first: for
 * longer the scarcer the write budget, and for longest while the page has more tasks to come here. Until it is written
 * down that a task is done, its entry stays on its machine, so that a new owner finds it.
 */
class OutcomeLog(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val shard: ShardState,
    private val failingJobs: FailingJobs,
) {
    private val packer = RecordPacker(
        replica,
        store.limits,
        Keys.outcomeRecords(shard.name),
        { job, page -> job.outcomes[ShardTaskRange(page, shard.name)] },
        { job, page -> job.outcomes[ShardTaskRange(page, shard.name)]?.let { RecordCodec.encode(it.value) } },
    )
    private val unresolvedWrites = UnresolvedWrites(loop, store, replica, WritePriority.OUTCOME, ::ownership)
    private val dirtySince = LinkedHashMap<TaskRange, MonotonicTime>()

    /** Pages with tasks given back, which somebody else could run. */
    private val urgentRanges = HashSet<TaskRange>()

    /** A transaction's conditions are the shard, the packed record and a job for each page. */
    private val maxRangesPerWrite = store.limits.transactionConditions - FIXED_CONDITIONS

    fun record(run: Run) {
        val place = TaskRange(run.task.job, run.task.index / Keys.TASKS_PER_RANGE)
        dirtySince.putIfAbsent(place, loop.now())
        if (run.state == RunState.GONE) urgentRanges += place
    }

    /** The job of [run] was found to fail everywhere: the leader should know, though nothing has become of the task. */
    fun recordFailingJob(run: Run) {
        if (replica.jobs[run.task.job]?.failing == false) record(run)
    }

    fun flush() {
        if (dirtySince.isEmpty() || !shard.isOpen) return
        val now = loop.now()
        val scarcity = 1.0 - store.writeBudgetLevel()
        val due = dirtySince.any { (place, since) ->
            val batchDelay = if (place in urgentRanges || !hasUnfinishedRuns(place)) MIN_BATCH_DELAY else INCOMPLETE_RANGE_BATCH_DELAY
            now >= since + batchDelay + MAX_SCARCITY_DELAY * scarcity
        }
        if (!due) return
        urgentRanges.clear()
        val changes = LinkedHashMap<TaskRange, ByteArray>()
        for (place in dirtySince.keys.toList()) {
            if (changes.size == maxRangesPerWrite) break
            val job = replica.jobs[place.job]?.takeIf { it.live != null }
            val record = job?.let { updatedRecord(it, place.index) }
            if (job == null || record == null) {
                dirtySince.remove(place)
            } else if (packer.ready(job, place.index)) {
                changes[place] = RecordCodec.encode(record)
            }
        }
        packer.pack(changes).forEach(::write)
    }

    private fun ownership() = Condition(Keys.shard(shard.name), Revision(shard.fencingToken.number))

    private fun hasUnfinishedRuns(place: TaskRange): Boolean = shard.runs.inRange(place).any {
        it.state != RunState.DONE &&
            it.state != RunState.GONE
    }

    private fun write(packedWrite: PackedWrite) {
        val conditions = LinkedHashSet<Condition>()
        conditions += ownership()
        conditions += packedWrite.condition
        // The live record changes with a cancellation, after which nothing may become done any more.
        packedWrite.ranges.mapTo(conditions) { Condition(Keys.live(it.job), replica.jobs.getValue(it.job).liveRevision()) }
        val transaction = Transaction(conditions.toList(), listOf(packedWrite.write))
        packer.markInFlight(packedWrite)
        val since = packedWrite.ranges.associateWith { dirtySince.remove(it) ?: loop.now() }
        store.commit(WritePriority.OUTCOME, transaction) { outcome ->
            if (outcome is TransactionOutcome.Applied) {
                packer.clearInFlight(packedWrite)
                replica.applyCommitted(transaction, outcome.revision)
                return@commit
            }
            // Whatever stood in the way, or became of the write: read first, then try what is still new.
            val again = {
                packer.clearInFlight(packedWrite)
                since.forEach { (place, first) -> dirtySince.merge(place, first) { a, b -> minOf(a, b) } }
            }
            when (outcome) {
                TransactionOutcome.Refused -> loop.after(REFUSAL_RETRY_DELAY, again)
                TransactionOutcome.Unknown -> unresolvedWrites.resolve(packedWrite, isOwner = { shard.isOpen }, again)
                else -> replica.catchUp { loop.after(CONFLICT_RETRY_DELAY, again) }
            }
        }
    }

    /** The record that says all that is known, or null where it says nothing new. */
    private fun updatedRecord(job: Job, page: Int): OutcomeRecord? {
        val present = job.outcomes[ShardTaskRange(page, shard.name)]?.value ?: OutcomeRecord.EMPTY
        val done = present.done.clone() as BitSet
        val restarted = present.restarted.clone() as BitSet
        val returned = HashMap<Int, BitSet>()
        present.returned.forEach { (generation, tasks) -> returned[generation] = tasks.clone() as BitSet }
        var changed = false
        for (run in shard.runs.inRange(TaskRange(job.id, page))) {
            val index = run.task.index
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
        val failing = done.isEmpty && (present.failing || job.id in failingJobs)
        if (!changed && failing == present.failing) return null
        return OutcomeRecord(done, stillNeeded(returned, job.assignmentRanges[page]?.value), restarted, present.version + 1, failing)
    }

    /** Give-backs matter only as long as the leader's page still names the assignment. */
    private fun stillNeeded(returned: Map<Int, BitSet>, page: AssignmentRange?): Map<Int, BitSet> {
        val needed = HashMap<Int, BitSet>()
        for (group in page?.groups.orEmpty()) {
            if (group.shard != shard.name) continue
            val tasks = (returned[group.generation] ?: continue).clone() as BitSet
            tasks.and(group.tasks)
            if (!tasks.isEmpty) needed[group.generation] = tasks
        }
        return needed
    }

    private companion object {
        const val FIXED_CONDITIONS = 2
        val MIN_BATCH_DELAY = 60.milliseconds
        val INCOMPLETE_RANGE_BATCH_DELAY = 350.milliseconds
        val MAX_SCARCITY_DELAY = 1800.milliseconds
        val CONFLICT_RETRY_DELAY = 20.milliseconds
        val REFUSAL_RETRY_DELAY = 300.milliseconds
    }
}
