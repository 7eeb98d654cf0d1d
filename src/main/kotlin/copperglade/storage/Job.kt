package copperglade.storage

import copperglade.protocol.FencingToken
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Priority
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import java.util.BitSet

/** One task's standing assignment. */
class Assignment(
    val task: Int,
    val shard: ShardName,
    val fencingToken: FencingToken,
    val generation: Int,
    val preemptedForGuarantee: Boolean,
)

/** A part of a packed record, and which record that is. */
class PackedEntry<T>(val value: T, val recordKey: String, encode: (T) -> ByteArray) {
    /** Only the record's writer asks for it: worked out by every controller for every change, it cost as much as reading. */
    val bytes: Int by lazy(LazyThreadSafetyMode.NONE) { encode(value).size }
}

/** Everything the state service holds of one job that is not over. */
class Job(val id: JobId) {
    var live: StoredRecord<LiveRecord>? = null
        set(record) {
            field = record
            scheduledSpec = record?.value?.spec?.let { it.withPriority(inheritedPriority ?: it.priority) }
        }
    private var inheritedPriority: Priority? = null
    private var inheritedDeadline: Deadline? = null
    private var scheduledSpec: JobSpec? = null
    private var releasedAtMs: Long? = null

    /** Kept by [DependencyGraph]; until that has looked at the job, one with dependencies is blocked. */
    var dependencyState = DependencyState.BLOCKED
        private set
    private val assignmentEntries = HashMap<Int, PackedEntry<AssignmentRange>>()
    private val outcomeEntries = HashMap<ShardTaskRange, PackedEntry<OutcomeRecord>>()

    /** What is assigned and neither done nor given back, as worked out last; null after a change. */
    private var assigned: List<Assignment>? = null

    /** Tasks that are done. Only ever grows while the job is live. */
    val done = BitSet()

    val assignmentRanges: Map<Int, PackedEntry<AssignmentRange>> get() = assignmentEntries
    val outcomes: Map<ShardTaskRange, PackedEntry<OutcomeRecord>> get() = outcomeEntries

    /** The job as it is scheduled: as submitted, with the priority that it inherits from its dependents. */
    val spec: JobSpec? get() = scheduledSpec
    val dependencies: List<JobId> get() = live?.value?.dependencies.orEmpty()

    /** Whether a dependency is not done yet: nothing of the job may be assigned, and it counts for nothing. */
    val blocked: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.BLOCKED

    /** The deadline that its user set. */
    val ownDeadline: Deadline?
        get() = live?.value?.let { record -> record.spec.deadlineSeconds?.let { Deadline(record.spec.load, record.acceptedAtMs, it) } }

    /** The tightest of its own deadline and those of its dependents. */
    val deadline: Deadline? get() = inheritedDeadline ?: ownDeadline

    /** Since when it could have been started, in wall-clock milliseconds: its acceptance, or the end of its last dependency. */
    val startableSinceMs: Long get() = releasedAtMs ?: live?.value?.acceptedAtMs ?: 0

    /** Whether it fails wherever it runs, by what owners have recorded; a completed task has disproved that. */
    val failing: Boolean get() = done.isEmpty && outcomeEntries.values.any { it.value.failing }

    /** How many of its tasks should be on machines now: all that are not done, or one on trial where it is [failing]. */
    val wantedTasks: Int get() = spec?.let { if (failing) FAILING_JOB_TRIALS else it.tasks - done.cardinality() } ?: 0
    val empty: Boolean get() = live == null && assignmentRanges.isEmpty() && outcomes.isEmpty()
    val complete: Boolean get() = spec?.let { it.tasks == done.cardinality() } ?: false

    /** By its own mark, or because a dependency was cancelled. */
    val cancelled: Boolean get() = live?.value?.cancelled ?: false || abortedByDependency

    /** Whether a job that it needs was cancelled. */
    val abortedByDependency: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.ABORTED

    /** The end of waiting for dependencies. Only [DependencyGraph] says so. */
    fun dependenciesEnded(next: DependencyState, releasedAtMs: Long?) {
        dependencyState = next
        this.releasedAtMs = releasedAtMs
    }

    /** Takes over what dependents hand on; returns whether that changes anything. Only [DependencyGraph] says so. */
    fun inherit(priority: Priority, deadline: Deadline?): Boolean {
        val submitted = live?.value?.spec ?: return false
        val before = this.deadline
        val sameDeadline = if (deadline == null || before == null) deadline === before else deadline.isCloseTo(before)
        if (spec?.priority == priority && sameDeadline) return false
        inheritedPriority = priority
        inheritedDeadline = deadline
        scheduledSpec = submitted.withPriority(priority)
        return true
    }

    fun setAssignmentRange(rangeIndex: Int, record: PackedEntry<AssignmentRange>?) {
        assigned = null
        if (record == null) assignmentEntries.remove(rangeIndex) else assignmentEntries[rangeIndex] = record
    }

    fun setOutcome(range: ShardTaskRange, record: PackedEntry<OutcomeRecord>?) {
        assigned = null
        if (record == null) outcomeEntries.remove(range) else outcomeEntries[range] = record
        record?.let { done.or(it.value.done) }
    }

    /**
     * Done goes before cancelled: the mark of a cancellation changes the live record's revision, which every write of
     * finished tasks has as a condition. So nothing can become done after the mark, and neither answer is ever taken
     * back.
     */
    fun status(): JobStatus = when {
        complete -> JobStatus.DONE
        cancelled -> JobStatus.CANCELLED
        assignments().isNotEmpty() -> JobStatus.RUNNING
        else -> JobStatus.QUEUED
    }

    /**
     * What is assigned and neither done nor given back: all that may be on a machine. Kept until a record changes:
     * with hundreds of live jobs, the leader's rounds would do little else than work it out again.
     */
    fun assignments(): List<Assignment> = assigned ?: workOut().also { assigned = it }

    private fun workOut(): List<Assignment> {
        val found = ArrayList<Assignment>()
        for ((rangeIndex, entry) in assignmentEntries) {
            for (group in entry.value.groups) {
                val returned = outcomeEntries[ShardTaskRange(rangeIndex, group.shard)]?.value?.returned?.get(group.generation)
                var task = group.tasks.nextSetBit(0)
                while (task >= 0) {
                    if (!done.get(task) && returned?.get(task) != true) {
                        found +=
                            Assignment(task, group.shard, group.fencingToken, group.generation, entry.value.preemptedForGuarantee.get(task))
                    }
                    task = group.tasks.nextSetBit(task + 1)
                }
            }
        }
        return found
    }

    fun wasRestarted(task: Int): Boolean = outcomeEntries.any { (range, entry) ->
        range.index == task / Keys.TASKS_PER_RANGE && entry.value.restarted.get(task)
    }

    /** Whether its cancelled mark is newer than [revision]. */
    fun isCancelledAfter(revision: Revision): Boolean = live?.let { it.value.cancelled && it.revision > revision } ?: false

    fun liveRevision(): Revision = live?.revision ?: Revision.ABSENT

    private companion object {
        const val FAILING_JOB_TRIALS = 1
    }
}
