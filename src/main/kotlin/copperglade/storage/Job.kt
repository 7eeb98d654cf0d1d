package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Priority
import copperglade.protocol.Revision
import java.util.BitSet

/**
 * What the state service holds of one job that has not ended, and what follows from that. Also stands for a job that has ended, or whose
 * live record isn't known yet, while packed records have entries of it: then [live] is null.
 */
class Job(val id: JobId) {
    var live: StoredRecord<LiveRecord>? = null
        set(record) {
            field = record
            scheduledSpec = record?.value?.spec?.let { it.withPriority(inheritedPriority ?: it.priority) }
        }
    private var inheritedPriority: Priority? = null
    private var inheritedDeadline: Deadline? = null
    private var scheduledSpec: JobSpec? = null
    private var releasedAtMillis: Long? = null

    /** Set by [DependencyGraph]; until then a job with dependencies is blocked. */
    var dependencyState = DependencyState.BLOCKED
        private set
    private val assignmentEntries = HashMap<Int, PackedEntry<AssignmentRange>>()
    private val outcomeEntries = HashMap<ShardTaskRange, PackedEntry<OutcomeRecord>>()

    /** The result of [assignments], or null after a change. */
    private var assigned: List<Assignment>? = null

    /** Tasks that are done; never shrinks. */
    val done = BitSet()

    /** By index of the task range. */
    val assignmentRanges: Map<Int, PackedEntry<AssignmentRange>> get() = assignmentEntries
    val outcomes: Map<ShardTaskRange, PackedEntry<OutcomeRecord>> get() = outcomeEntries

    /** The job as it is scheduled: as submitted, with the priority that it inherits from its dependents. */
    val spec: JobSpec? get() = scheduledSpec

    /** Jobs that had to be done before it when it was accepted. */
    val dependencies: List<JobId> get() = live?.value?.dependencies.orEmpty()

    /** Whether a dependency is not done yet: no task may be assigned, and the job doesn't count as demand. */
    val blocked: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.BLOCKED

    /** The deadline set by its user, if any. */
    val ownDeadline: Deadline?
        get() = live?.value?.let { record ->
            record.spec.deadlineSeconds?.let { Deadline(record.spec.workloadClass, record.acceptedAtMillis, it) }
        }

    /** The tightest of its own deadline and those inherited from its dependents. */
    val deadline: Deadline? get() = inheritedDeadline ?: ownDeadline

    /** When it could first have been started, in wall-clock milliseconds: at its acceptance, or at the end of its last dependency. */
    val startableSinceMillis: Long get() = releasedAtMillis ?: live?.value?.acceptedAtMillis ?: 0

    /** Whether shard owners have recorded that it fails wherever it runs, and no task has been done since. */
    val failing: Boolean get() = done.isEmpty && outcomeEntries.values.any { it.value.failing }

    /** How many of its tasks should run now: all that are not done, or one as a trial where it is [failing]. */
    val wantedTasks: Int get() = spec?.let { if (failing) FAILING_JOB_TRIALS else it.tasks - done.cardinality() } ?: 0

    /** Whether no record of it is left. */
    val hasNoRecords: Boolean get() = live == null && assignmentRanges.isEmpty() && outcomes.isEmpty()

    /** Whether all tasks are done. */
    val complete: Boolean get() = spec?.let { it.tasks == done.cardinality() } ?: false

    /** Whether it was cancelled itself, or a dependency was. */
    val cancelled: Boolean get() = live?.value?.cancelled ?: false || abortedByDependency

    /** Whether a dependency was cancelled. */
    val abortedByDependency: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.ABORTED

    /** Sets the state of its dependencies. Only [DependencyGraph] calls it. */
    internal fun setDependencyState(state: DependencyState, releasedAtMillis: Long?) {
        dependencyState = state
        this.releasedAtMillis = releasedAtMillis
    }

    /** Sets what it inherits from its dependents; returns whether that changes anything. Only [DependencyGraph] calls it. */
    internal fun inherit(priority: Priority, deadline: Deadline?): Boolean {
        val submitted = live?.value?.spec ?: return false
        val before = this.deadline
        val sameDeadline = if (deadline == null || before == null) deadline === before else deadline.isCloseTo(before)
        if (spec?.priority == priority && sameDeadline) return false
        inheritedPriority = priority
        inheritedDeadline = deadline
        scheduledSpec = submitted.withPriority(priority)
        return true
    }

    /** Sets or, with null, removes the assignments of a task range. */
    internal fun setAssignmentRange(rangeIndex: Int, entry: PackedEntry<AssignmentRange>?) {
        assigned = null
        if (entry == null) assignmentEntries.remove(rangeIndex) else assignmentEntries[rangeIndex] = entry
    }

    /** Sets or, with null, removes the outcomes of a task range in a shard. Tasks that were done stay done. */
    internal fun setOutcome(range: ShardTaskRange, entry: PackedEntry<OutcomeRecord>?) {
        assigned = null
        if (entry == null) outcomeEntries.remove(range) else outcomeEntries[range] = entry
        entry?.let { done.or(it.value.done) }
    }

    /**
     * The status that users see. Done takes precedence over cancelled: the cancelled mark changes the live record's revision, which is a
     * condition of every write of done tasks. So nothing becomes done after the mark, and neither status is ever taken back.
     */
    fun status(): JobStatus = when {
        complete -> JobStatus.DONE
        cancelled -> JobStatus.CANCELLED
        assignments().isNotEmpty() -> JobStatus.RUNNING
        else -> JobStatus.QUEUED
    }

    /** Assigned tasks that are neither done nor returned: all that may be on a machine. Cached until a record changes. */
    fun assignments(): List<Assignment> = assigned ?: computeAssignments().also { assigned = it }

    private fun computeAssignments(): List<Assignment> {
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

    /** Whether [task] has been restarted elsewhere as a straggler. */
    fun wasRestarted(task: Int): Boolean = outcomeEntries.any { (range, entry) ->
        range.index == task / Keys.TASKS_PER_RANGE && entry.value.restarted.get(task)
    }

    /** Whether it was cancelled with a newer revision than [revision]. */
    fun isCancelledAfter(revision: Revision): Boolean = live?.let { it.value.cancelled && it.revision > revision } ?: false

    /** The revision of its live record, or [Revision.ABSENT]. */
    fun liveRevision(): Revision = live?.revision ?: Revision.ABSENT

    private companion object {
        const val FAILING_JOB_TRIALS = 1
    }
}
