package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Revision
import kotlin.math.abs

/** How far a job's dependencies are. Moves from [BLOCKED] to one of the others, and never back. */
enum class DependencyState { BLOCKED, RELEASED, ABORTED }

/** What a dependency has become, as far as the records known here tell. */
enum class DependencyOutcome(val final: Boolean) {
    /** Neither live nor known to be over: its end record has to be looked up. */
    UNKNOWN(false),
    OPEN(false),
    DONE(true),
    ABORTED(true),
}

/**
 * When a job is due: by its own deadline, or by that of a job that depends on it.
 *
 * @property load the class of the job that the deadline was set for; its objectives say which multiples of it count.
 * @property submittedAtMs when that job was submitted.
 * @property leadS what is predicted to run between the end of this job and that deadline.
 */
class Deadline(val load: String, private val submittedAtMs: Long, private val deadlineSeconds: Double, private val leadS: Double = 0.0) {
    /** Seconds from [fromMs] until the job is due, with the deadline taken [multiple] times. */
    fun dueInS(multiple: Double, fromMs: Long): Double = (submittedAtMs - fromMs) / MS + multiple * deadlineSeconds - leadS

    /** The same deadline for a job that has to be over [runS] earlier. */
    fun earlierBy(runS: Double) = Deadline(load, submittedAtMs, deadlineSeconds, leadS + runS)

    fun isCloseTo(other: Deadline): Boolean =
        load == other.load && abs(dueInS(1.0, submittedAtMs) - other.dueInS(1.0, submittedAtMs)) < NEGLIGIBLE_S

    private companion object {
        const val MS = 1000.0
        const val NEGLIGIBLE_S = 0.1
    }
}

/**
 * Which jobs depend on which, and what follows from it: whether a job is blocked, released or aborted, and how urgent it
 * is for the sake of the jobs that depend on it.
 *
 * Everything is derived from durable records alone, so that every controller comes to the same result and no crash between
 * the cancellation of a job and the end records of its dependents can leave one of them out. A result that was once final
 * stays so: tasks recorded as done are never taken back, and nothing becomes done after a cancelled mark. A mark counts
 * only if every change up to it is known ([knownUpTo]): of a mark that was learned ahead of the watch it isn't known yet
 * whether the job's last task was recorded before it.
 *
 * A job can name only jobs accepted before it, so the graph has no cycles. An update costs in proportion to the jobs that
 * changed and their neighbours in the graph.
 */
class DependencyGraph(
    private val jobs: Map<JobId, Job>,
    private val endOf: (JobId) -> EndRecord?,
    private val knownUpTo: () -> Revision,
    private val wallMillis: () -> Long,
    private val predictRunS: (JobSpec) -> Double,
) {
    private val dependenciesOf = HashMap<JobId, List<JobId>>()
    private val dependentsOf = HashMap<JobId, LinkedHashSet<JobId>>()

    /** By awaited job, what its dependents were last derived from. A final outcome outlives the job's own records here. */
    private val outcomes = HashMap<JobId, DependencyOutcome>()

    /** When jobs with dependencies were first seen to be released here, in wall-clock milliseconds. */
    private val releasedAtMs = HashMap<JobId, Long>()

    fun isAwaited(id: JobId): Boolean = id in dependentsOf

    /** Awaited jobs whose end records have to be looked up. */
    fun unknownDependencies(): List<JobId> = outcomes.filterValues { it == DependencyOutcome.UNKNOWN }.keys.toList()

    /** Whether the state of [id] hangs on a job, awaited directly or through others, that has not been looked up yet. */
    fun hasUnknownDependencies(id: JobId): Boolean {
        val open = ArrayDeque(listOf(id))
        val seen = HashSet<JobId>()
        while (open.isNotEmpty()) {
            for (dependency in dependenciesOf[open.removeFirst()].orEmpty()) {
                if (outcomes[dependency] == DependencyOutcome.UNKNOWN) return true
                if (outcomes[dependency] == DependencyOutcome.OPEN && seen.add(dependency)) open += dependency
            }
        }
        return false
    }

    /** What [id] has become by the records known here. */
    fun outcomeOf(id: JobId): DependencyOutcome {
        outcomes[id]?.takeIf { it.final }?.let { return it }
        val job = jobs[id]?.takeIf { it.live != null } ?: return endedOutcome(id)
        return when {
            job.complete -> DependencyOutcome.DONE
            isSurelyMarked(job) || job.abortedByDependency -> DependencyOutcome.ABORTED
            else -> DependencyOutcome.OPEN
        }
    }

    private fun endedOutcome(id: JobId): DependencyOutcome = when (endOf(id)?.status) {
        null -> DependencyOutcome.UNKNOWN
        JobStatus.DONE -> DependencyOutcome.DONE
        else -> DependencyOutcome.ABORTED
    }

    private fun isSurelyMarked(job: Job): Boolean = job.live?.value?.cancelled ?: false && !job.isCancelledAfter(knownUpTo())

    /** Takes in that the records of [changes] have changed; returns the jobs for which something else follows now. */
    fun update(changes: Collection<JobId>): Set<JobId> {
        val relevant = changes.filter { it in dependentsOf || it in dependenciesOf || hasDependencies(it) }
        if (relevant.isEmpty()) return emptySet()
        val urgencyChanged = LinkedHashSet<JobId>()
        for (id in relevant) {
            urgencyChanged += dependenciesOf[id].orEmpty()
            register(id)
            urgencyChanged += dependenciesOf[id].orEmpty()
        }
        val changed = LinkedHashSet<JobId>()
        deriveStates(relevant, changed)
        changed.flatMapTo(urgencyChanged) { dependenciesOf[it].orEmpty() }
        deriveUrgency(urgencyChanged + relevant, changed)
        return changed
    }

    /** Starts anew from all jobs, after they were read again; what was final before stays known. */
    fun rebuild() {
        dependenciesOf.clear()
        dependentsOf.clear()
        outcomes.values.removeIf { !it.final }
        update(jobs.keys.toList())
        outcomes.keys.retainAll(dependentsOf.keys)
        releasedAtMs.keys.retainAll(dependenciesOf.keys)
    }

    private fun hasDependencies(id: JobId): Boolean = jobs[id]?.dependencies?.isNotEmpty() ?: false

    private fun register(id: JobId) {
        val present = jobs[id]?.dependencies.orEmpty()
        val before = dependenciesOf[id].orEmpty()
        if (present == before) return
        before.forEach { removeEdge(id, it) }
        if (present.isEmpty()) {
            dependenciesOf.remove(id)
            releasedAtMs.remove(id)
            return
        }
        dependenciesOf[id] = present
        for (dependency in present) {
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
        val seenAtMs = if (next == DependencyState.RELEASED) releasedAtMs.getOrPut(job.id, wallMillis) else null
        job.dependenciesEnded(next, seenAtMs)
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

    /** Gives [job] the highest priority and the tightest deadline that any of its unfinished dependents hands on. */
    private fun inheritUrgency(job: Job): Boolean {
        val submitted = job.live?.value?.spec ?: return false
        var priority = submitted.priority
        var deadline = job.ownDeadline
        for (dependent in unfinishedDependents(job.id)) {
            val spec = dependent.spec ?: continue
            if (spec.priority < priority) priority = spec.priority
            val handedOn = dependent.deadline?.earlierBy(predictRunS(spec)) ?: continue
            if (deadline == null || isTighter(handedOn, deadline)) deadline = handedOn
        }
        return job.inherit(priority, deadline)
    }

    private fun unfinishedDependents(id: JobId): List<Job> =
        dependentsOf[id].orEmpty().mapNotNull { jobs[it] }.filter { it.live != null && !it.complete && !it.cancelled }

    private fun isTighter(one: Deadline, other: Deadline): Boolean = one.dueInS(1.0, 0) < other.dueInS(1.0, 0)
}
