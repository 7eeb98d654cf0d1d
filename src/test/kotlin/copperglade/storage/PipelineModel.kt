package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.Priority
import java.util.Random

/** A job of a pipeline. Its dependencies must be submitted before the job. */
class PipelineJob(
    val id: JobId,
    val dependencies: Set<JobId>,
    val priority: Priority = Priority.NORMAL,
    /** The deadline in seconds of the model's clock, or null if the job has none. */
    val dueAtSeconds: Double? = null,
)

/**
 * A simple, slow reference model of pipelines. Every result is recomputed from dependencies and marks. Tests compare [DependencyGraph] with
 * this model.
 */
class PipelineModel {
    private val jobs = LinkedHashMap<JobId, PipelineJob>()
    private val done = HashSet<JobId>()
    private val cancelled = HashSet<JobId>()

    val ids: Set<JobId> get() = jobs.keys

    fun add(job: PipelineJob) {
        require(job.id !in jobs && jobs.keys.containsAll(job.dependencies)) { "${job.id} is a duplicate, or depends on an unknown job" }
        jobs[job.id] = job
    }

    /** Marks all tasks of a job as done. Throws if the job is blocked or aborted. */
    fun markDone(id: JobId) {
        require(!isBlocked(id) && !isAborted(id)) { "$id is blocked or aborted, so it can't be marked as done" }
        done += id
    }

    /** Cancels a job. A job that is done stays done. */
    fun markCancelled(id: JobId) {
        if (!isDone(id)) cancelled += id
    }

    fun dependencies(id: JobId): Set<JobId> = jobs.getValue(id).dependencies

    /** Returns all jobs that [id] depends on, directly or through others. */
    fun predecessors(id: JobId): Set<JobId> = dependencies(id) + dependencies(id).flatMap { predecessors(it) }

    /** Returns all jobs that depend on [id], directly or through others. */
    fun successors(id: JobId): Set<JobId> = jobs.keys.filter { id in predecessors(it) }.toSet()

    fun isDone(id: JobId): Boolean = id in done

    /** Whether the job is not done, and the job or a direct or indirect dependency was cancelled. */
    fun isAborted(id: JobId): Boolean = !isDone(id) && (id in cancelled || dependencies(id).any(::isAborted))

    /** Whether the job is not aborted and a dependency is not done, so that the job may neither start nor end. */
    fun isBlocked(id: JobId): Boolean = !isAborted(id) && dependencies(id).any { !isDone(it) }

    /** Whether all dependencies are done and the job is neither done nor aborted, so that the job may start. */
    fun isReleased(id: JobId): Boolean = !isDone(id) && !isAborted(id) && dependencies(id).all(::isDone)

    private fun pendingWithSuccessors(id: JobId): List<PipelineJob> =
        (setOf(id) + successors(id)).filter { !isDone(it) && !isAborted(it) }.map(jobs::getValue)

    /** Returns the highest priority of a pending job and its pending dependents, or null for a job that has ended. */
    fun effectivePriority(id: JobId): Priority? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).minOf { it.priority }

    /** Returns the earliest deadline of a pending job and its pending dependents, or null if there is none. */
    fun tightestDueSeconds(id: JobId): Double? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).mapNotNull { it.dueAtSeconds }.minOrNull()
}

/** Generates random pipelines and their histories from a seeded [random]. */
class RandomPipelines(private val random: Random) {
    /** A step of a pipeline's history. */
    sealed interface Step {
        class Submit(val job: PipelineJob) : Step

        class Complete(val id: JobId) : Step

        class Cancel(val id: JobId) : Step
    }

    /** Returns an acyclic graph. Each job depends on up to [maxDependencies] earlier jobs, mostly recent ones, which forms long chains. */
    fun graph(jobs: Int, maxDependencies: Int = 3): List<PipelineJob> {
        val generated = ArrayList<PipelineJob>()
        repeat(jobs) { number -> generated += job(number, generated.map { it.id }, maxDependencies) }
        return generated
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

    /** Applies random submissions, completions and cancellations to a new model. Calls [onStep] with the model after each step. */
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
        // Also selects ended jobs, whose cancellation has no effect.
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
