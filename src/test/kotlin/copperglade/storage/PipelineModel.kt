package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.Priority
import java.util.Random

/** A job of a pipeline; its dependencies were submitted before it. */
class PipelineJob(
    val id: JobId,
    val dependencies: Set<JobId>,
    val priority: Priority = Priority.NORMAL,
    /** When it is due, in seconds of the model's clock; null where it has no deadline. */
    val dueAtSeconds: Double? = null,
)

/**
 * The meaning of pipelines, simple and slow: every answer is computed from edges and marks. [DependencyGraph] is compared with it.
 */
class PipelineModel {
    private val jobs = LinkedHashMap<JobId, PipelineJob>()
    private val done = HashSet<JobId>()
    private val cancelled = HashSet<JobId>()

    val ids: Set<JobId> get() = jobs.keys

    fun add(job: PipelineJob) {
        require(job.id !in jobs && jobs.keys.containsAll(job.dependencies)) { "${job.id} is known, or depends on an unknown job" }
        jobs[job.id] = job
    }

    /** All tasks of a job are done; what is blocked or aborted can't become done. */
    fun markDone(id: JobId) {
        require(!isBlocked(id) && !isAborted(id)) { "$id can't be done" }
        done += id
    }

    /** A user cancels a job; what is done stays done. */
    fun markCancelled(id: JobId) {
        if (!isDone(id)) cancelled += id
    }

    fun dependencies(id: JobId): Set<JobId> = jobs.getValue(id).dependencies

    /** All jobs that it depends on, directly or through others. */
    fun predecessors(id: JobId): Set<JobId> = dependencies(id) + dependencies(id).flatMap { predecessors(it) }

    /** All jobs that depend on it, directly or through others. */
    fun successors(id: JobId): Set<JobId> = jobs.keys.filter { id in predecessors(it) }.toSet()

    fun isDone(id: JobId): Boolean = id in done

    /** Cancelled itself, or through a dependency. */
    fun isAborted(id: JobId): Boolean = !isDone(id) && (id in cancelled || dependencies(id).any(::isAborted))

    /** A dependency is neither done nor aborted: the job may neither start nor end. */
    fun isBlocked(id: JobId): Boolean = !isAborted(id) && dependencies(id).any { !isDone(it) }

    /** All dependencies are done, and the job is neither done nor aborted: it may start. */
    fun isReleased(id: JobId): Boolean = !isDone(id) && !isAborted(id) && dependencies(id).all(::isDone)

    private fun pendingWithSuccessors(id: JobId): List<PipelineJob> =
        (setOf(id) + successors(id)).filter { !isDone(it) && !isAborted(it) }.map(jobs::getValue)

    /** The highest priority of a pending job and the pending ones that depend on it; null for one that has ended. */
    fun effectivePriority(id: JobId): Priority? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).minOf { it.priority }

    /** The earliest deadline of a pending job and the pending ones that depend on it; null where there is none. */
    fun tightestDueSeconds(id: JobId): Double? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).mapNotNull { it.dueAtSeconds }.minOrNull()
}

/** Random pipelines and their histories, by seed. */
class RandomPipelines(private val random: Random) {
    /** A step of a pipeline's history. */
    sealed interface Step {
        class Submit(val job: PipelineJob) : Step

        class Complete(val id: JobId) : Step

        class Cancel(val id: JobId) : Step
    }

    /** Acyclic: each job depends on up to [maxDependencies] earlier ones, mostly recent ones, so that there are long chains. */
    fun graph(jobs: Int, maxDependencies: Int = 3): List<PipelineJob> {
        val made = ArrayList<PipelineJob>()
        repeat(jobs) { number -> made += job(number, made.map { it.id }, maxDependencies) }
        return made
    }

    private fun job(number: Int, earlier: List<JobId>, maxDependencies: Int): PipelineJob {
        val count = random.nextInt(maxDependencies + 1)
        val recent = earlier.takeLast(RECENT_JOBS)
        val dependencies = (0 until count)
            .mapNotNull {
                (
                    if (random.nextInt(DISTANT_ONE_IN) ==
                        0
                    ) {
                        earlier
                    } else {
                        recent
                    }
                ).randomElement()
            }.toSet()
        val dueAtSeconds = if (random.nextInt(3) == 0) null else random.nextInt(1000).toDouble()
        return PipelineJob(
            JobId("job-${FIRST_JOB + number}"),
            dependencies,
            Priority.entries[random.nextInt(Priority.entries.size)],
            dueAtSeconds,
        )
    }

    /** Random submissions, ends and cancellations; [onStep] gets the model as it is after the step. */
    fun play(jobs: Int, onStep: (Step, PipelineModel) -> Unit): PipelineModel {
        val model = PipelineModel()
        val toSubmit = ArrayDeque(graph(jobs))
        while (toSubmit.isNotEmpty() || model.ids.any(model::isReleased)) {
            val step = nextStep(toSubmit, model) ?: continue
            when (step) {
                is Step.Submit -> model.add(step.job)
                is Step.Complete -> model.markDone(step.id)
                is Step.Cancel -> model.markCancelled(step.id)
            }
            onStep(step, model)
        }
        return model
    }

    private fun nextStep(toSubmit: ArrayDeque<PipelineJob>, model: PipelineModel): Step? = when (random.nextInt(CHOICES)) {
        in 0..4 -> toSubmit.removeFirstOrNull()?.let(Step::Submit)
        in 5..8 ->
            model.ids
                .filter(model::isReleased)
                .randomElement()
                ?.let(Step::Complete)
        // Includes ended jobs, whose cancellation changes nothing.
        else ->
            model.ids
                .toList()
                .randomElement()
                ?.takeIf { random.nextInt(3) == 0 }
                ?.let(Step::Cancel)
    }

    private fun <T> List<T>.randomElement(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private companion object {
        const val FIRST_JOB = 1000
        const val RECENT_JOBS = 5
        const val DISTANT_ONE_IN = 5
        const val CHOICES = 10
    }
}
