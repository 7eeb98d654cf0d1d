package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Revision

/**
 * Which jobs depend on which, and what follows from that: whether a job is blocked, released or aborted, and which priority and deadline
 * it inherits from the jobs that depend on it.
 *
 * Everything is derived from durable records alone, so that every controller comes to the same result, and a crash between the
 * cancellation of a job and the end records of its dependents leaves none of them out. A final outcome never changes: tasks recorded as
 * done stay done, and nothing becomes done after a cancelled mark. A mark counts only if every change up to it is known: while it is known
 * ahead of the watch, the job's last task may have been recorded before it.
 *
 * A job can name only jobs accepted before it, so the graph has no cycles. The cost of an update is proportional to the jobs that changed
 * and their neighbours in the graph.
 *
 * @param jobs the jobs as the replica has them.
 * @param endRecordOf the end record of a job, if it is known.
 * @param knownRevision the revision up to which all changes are known.
 * @param wallMillis the wall clock, in milliseconds.
 * @param predictRunSeconds how long a job's tasks are predicted to run, in seconds.
 */
class DependencyGraph(
    private val jobs: Map<JobId, Job>,
    private val endRecordOf: (JobId) -> EndRecord?,
    private val knownRevision: () -> Revision,
    private val wallMillis: () -> Long,
    private val predictRunSeconds: (JobSpec) -> Double,
) {
    private val dependenciesOf = HashMap<JobId, List<JobId>>()
    private val dependentsOf = HashMap<JobId, LinkedHashSet<JobId>>()

    /**
     * By dependency, the outcome from which its dependents' states were last derived. A final outcome is kept even after the dependency's
     * own records are gone.
     */
    private val outcomes = HashMap<JobId, DependencyOutcome>()

    /** When jobs with dependencies were first found released by this controller, in wall-clock milliseconds. */
    private val releasedAtMillis = HashMap<JobId, Long>()

    /** Whether any job depends on [id]. */
    internal fun hasDependents(id: JobId): Boolean = id in dependentsOf

    /** Dependencies whose end records have to be looked up. */
    internal fun unknownDependencies(): List<JobId> = outcomes.filterValues { it == DependencyOutcome.UNKNOWN }.keys.toList()

    /** Whether the state of [id] depends, directly or through other jobs, on one whose end record has not been looked up yet. */
    fun hasUnknownDependencies(id: JobId): Boolean {
        val queue = ArrayDeque(listOf(id))
        val visited = HashSet<JobId>()
        while (queue.isNotEmpty()) {
            for (dependency in dependenciesOf[queue.removeFirst()].orEmpty()) {
                if (outcomes[dependency] == DependencyOutcome.UNKNOWN) return true
                if (outcomes[dependency] == DependencyOutcome.OPEN && visited.add(dependency)) queue += dependency
            }
        }
        return false
    }

    /** How [id] ended, according to the records known here. */
    fun outcomeOf(id: JobId): DependencyOutcome {
        outcomes[id]?.takeIf { it.final }?.let { return it }
        val job = jobs[id]?.takeIf { it.live != null } ?: return endedOutcome(id)
        return when {
            job.complete -> DependencyOutcome.DONE
            isCancellationConfirmed(job) || job.abortedByDependency -> DependencyOutcome.ABORTED
            else -> DependencyOutcome.OPEN
        }
    }

    private fun endedOutcome(id: JobId): DependencyOutcome = when (endRecordOf(id)?.status) {
        null -> DependencyOutcome.UNKNOWN
        JobStatus.DONE -> DependencyOutcome.DONE
        else -> DependencyOutcome.ABORTED
    }

    private fun isCancellationConfirmed(job: Job): Boolean = job.live?.value?.cancelled ?: false && !job.isCancelledAfter(knownRevision())

    /** Applies that the records of [changes] have changed; returns the jobs whose state, priority or deadline has changed with them. */
    internal fun update(changes: Collection<JobId>): Set<JobId> {
        val relevant = changes.filter { it in dependentsOf || it in dependenciesOf || hasDependencies(it) }
        if (relevant.isEmpty()) return emptySet()
        val urgencyChanged = LinkedHashSet<JobId>()
        for (id in relevant) {
            urgencyChanged += dependenciesOf[id].orEmpty()
            updateEdges(id)
            urgencyChanged += dependenciesOf[id].orEmpty()
        }
        val changed = LinkedHashSet<JobId>()
        deriveStates(relevant, changed)
        changed.flatMapTo(urgencyChanged) { dependenciesOf[it].orEmpty() }
        deriveUrgency(urgencyChanged + relevant, changed)
        return changed
    }

    /** Rebuilds the graph after all jobs were loaded again. Final outcomes are kept. */
    internal fun rebuild() {
        dependenciesOf.clear()
        dependentsOf.clear()
        outcomes.values.removeIf { !it.final }
        update(jobs.keys.toList())
        outcomes.keys.retainAll(dependentsOf.keys)
        releasedAtMillis.keys.retainAll(dependenciesOf.keys)
    }

    private fun hasDependencies(id: JobId): Boolean = jobs[id]?.dependencies?.isNotEmpty() ?: false

    private fun updateEdges(id: JobId) {
        val current = jobs[id]?.dependencies.orEmpty()
        val before = dependenciesOf[id].orEmpty()
        if (current == before) return
        before.forEach { removeEdge(id, it) }
        if (current.isEmpty()) {
            dependenciesOf.remove(id)
            releasedAtMillis.remove(id)
            return
        }
        dependenciesOf[id] = current
        for (dependency in current) {
            dependentsOf.getOrPut(dependency) { LinkedHashSet() } += id
            outcomes.getOrPut(dependency) { outcomeOf(dependency) }
        }
    }

    private fun removeEdge(dependent: JobId, dependency: JobId) {
        val dependents = dependentsOf[dependency] ?: return
        dependents -= dependent
        if (dependents.isNotEmpty()) return
        dependentsOf.remove(dependency)
        outcomes.remove(dependency)
    }

    private fun deriveStates(first: Collection<JobId>, changed: MutableSet<JobId>) {
        val queue = ArrayDeque(first)
        while (queue.isNotEmpty()) {
            val id = queue.removeFirst()
            val job = jobs[id]?.takeIf { it.live != null }
            if (job != null && id in dependenciesOf && deriveState(job)) changed += id
            val dependents = dependentsOf[id] ?: continue
            val outcome = outcomeOf(id)
            if (outcomes.put(id, outcome) != outcome) queue += dependents
        }
    }

    private fun deriveState(job: Job): Boolean {
        if (job.dependencyState != DependencyState.BLOCKED) return false
        val dependencies = dependenciesOf.getValue(job.id).map { outcomes.getValue(it) }
        val next = when {
            dependencies.any { it == DependencyOutcome.ABORTED } -> DependencyState.ABORTED
            dependencies.all { it == DependencyOutcome.DONE } -> DependencyState.RELEASED
            else -> return false
        }
        val releasedAt = if (next == DependencyState.RELEASED) releasedAtMillis.getOrPut(job.id, wallMillis) else null
        job.setDependencyState(next, releasedAt)
        return true
    }

    private fun deriveUrgency(first: Collection<JobId>, changed: MutableSet<JobId>) {
        val queue = ArrayDeque(first)
        while (queue.isNotEmpty()) {
            val id = queue.removeFirst()
            val job = jobs[id]?.takeIf { it.live != null } ?: continue
            if (!inheritUrgency(job)) continue
            changed += id
            queue += dependenciesOf[id].orEmpty()
        }
    }

    /** Sets the highest priority and the tightest deadline of [job] and its unfinished dependents; returns whether that changes anything. */
    private fun inheritUrgency(job: Job): Boolean {
        val submitted = job.live?.value?.spec ?: return false
        var priority = submitted.priority
        var deadline = job.ownDeadline
        for (dependent in unfinishedDependents(job.id)) {
            val spec = dependent.spec ?: continue
            if (spec.priority < priority) priority = spec.priority
            val inherited = dependent.deadline?.earlierBy(predictRunSeconds(spec)) ?: continue
            if (deadline == null || inherited.isTighterThan(deadline)) deadline = inherited
        }
        return job.inherit(priority, deadline)
    }

    private fun unfinishedDependents(id: JobId): List<Job> =
        dependentsOf[id].orEmpty().mapNotNull { jobs[it] }.filter { it.live != null && !it.complete && !it.cancelled }
}
