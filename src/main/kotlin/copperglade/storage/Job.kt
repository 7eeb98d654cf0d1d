package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Priority
import copperglade.protocol.Revision
import java.util.BitSet

/**
 * The records of one job that has not ended, and the state derived from them. While packed records hold entries of a job that has ended,
 * or whose live record has not been received yet, the object exists too, and [live] is null.
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

    /** Set by [DependencyGraph]. Until it is set, a job with dependencies is blocked. */
    var dependencyState = DependencyState.BLOCKED
        private set
    private val assignmentEntries = HashMap<Int, PackedEntry<AssignmentRange>>()
    private val outcomeEntries = HashMap<ShardTaskRange, PackedEntry<OutcomeRecord>>()

    /** The cached result of [assignments], or null after a change. */
    private var cachedAssignments: List<Assignment>? = null

    /** The tasks that are done. Tasks are only ever added. */
    val done = BitSet()

    /** The assignments, by index of the task range. */
    val assignmentRanges: Map<Int, PackedEntry<AssignmentRange>> get() = assignmentEntries
    val outcomes: Map<ShardTaskRange, PackedEntry<OutcomeRecord>> get() = outcomeEntries

    /** The job as the scheduler uses it: the submitted spec with the priority inherited from the job's dependents. */
    val spec: JobSpec? get() = scheduledSpec

    /** The jobs that this job depends on and that were not done when this job was accepted. */
    val dependencies: List<JobId> get() = live?.value?.dependencies.orEmpty()

    /** Whether a dependency is not done yet. No task of a blocked job may be assigned, and the job doesn't count as demand. */
    val blocked: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.BLOCKED

    /** The deadline set by the job's user, if any. */
    val ownDeadline: Deadline?
        get() = live?.value?.let { record ->
            record.spec.deadlineSeconds?.let { Deadline(record.spec.workloadClass, record.acceptedAtMillis, it) }
        }

    /** The earliest of the job's own deadline and those inherited from its dependents. */
    val deadline: Deadline? get() = inheritedDeadline ?: ownDeadline

    /** When the job became startable, in wall-clock milliseconds: at its acceptance, or at the end of its last dependency. */
    val startableSinceMillis: Long get() = releasedAtMillis ?: live?.value?.acceptedAtMillis ?: 0

    /** Whether a shard owner has recorded that the job fails on every machine, and no task of the job is done. */
    val failing: Boolean get() = done.isEmpty && outcomeEntries.values.any { it.value.failing }

    /** The number of tasks that should run now: all tasks that are not done, or a single trial task if the job is [failing]. */
    val wantedTasks: Int get() = spec?.let { if (failing) FAILING_JOB_TRIALS else it.tasks - done.cardinality() } ?: 0

    /** Whether the replica holds no record of the job any more. */
    val hasNoRecords: Boolean get() = live == null && assignmentRanges.isEmpty() && outcomes.isEmpty()

    /** Whether all tasks are done. */
    val complete: Boolean get() = spec?.let { it.tasks == done.cardinality() } ?: false

    /** Whether the job or one of its dependencies was cancelled. */
    val cancelled: Boolean get() = live?.value?.cancelled ?: false || abortedByDependency

    /** Whether a dependency was cancelled, which aborts this job. */
    val abortedByDependency: Boolean get() = dependencies.isNotEmpty() && dependencyState == DependencyState.ABORTED

    /** Sets the state of the job's dependencies. Only [DependencyGraph] calls this function. */
    internal fun setDependencyState(state: DependencyState, releasedAtMillis: Long?) {
        dependencyState = state
        this.releasedAtMillis = releasedAtMillis
    }

    /** Sets the inherited priority and deadline; returns whether either changed. Only [DependencyGraph] calls this function. */
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

    /** Sets the assignments of a task range; null removes them. */
    internal fun setAssignmentRange(rangeIndex: Int, entry: PackedEntry<AssignmentRange>?) {
        cachedAssignments = null
        if (entry == null) assignmentEntries.remove(rangeIndex) else assignmentEntries[rangeIndex] = entry
    }

    /** Sets the outcomes of a task range in a shard; null removes them. Tasks that were done stay done. */
    internal fun setOutcome(range: ShardTaskRange, entry: PackedEntry<OutcomeRecord>?) {
        cachedAssignments = null
        if (entry == null) outcomeEntries.remove(range) else outcomeEntries[range] = entry
        entry?.let { done.or(it.value.done) }
    }

    /**
     * Returns the status reported to users. Done takes precedence over cancelled. The cancelled mark changes the live record's revision,
     * which is a condition of every write of done tasks, so no task becomes done after the mark. Neither status is ever revoked.
     */
    fun status(): JobStatus = when {
        complete -> JobStatus.DONE
        cancelled -> JobStatus.CANCELLED
        assignments().isNotEmpty() -> JobStatus.RUNNING
        else -> JobStatus.QUEUED
    }

    /** Returns the assigned tasks that are neither done nor returned. Only these may be on a machine. Cached until a record changes. */
    fun assignments(): List<Assignment> = cachedAssignments ?: computeAssignments().also { cachedAssignments = it }

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

    /** Whether [task] has been restarted on another machine as a straggler. */
    fun wasRestarted(task: Int): Boolean = outcomeEntries.any { (range, entry) ->
        range.index == task / Keys.TASKS_PER_RANGE && entry.value.restarted.get(task)
    }

    /** Whether the job was cancelled at a newer revision than [revision]. */
    fun isCancelledAfter(revision: Revision): Boolean = live?.let { it.value.cancelled && it.revision > revision } ?: false

    /** Returns the revision of the job's live record, or [Revision.ABSENT] if there is none. */
    fun liveRevision(): Revision = live?.revision ?: Revision.ABSENT

    private companion object {
        const val FAILING_JOB_TRIALS = 1
    }
}
