package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.Priority
import java.util.Random

/** A job of a pipeline: what it awaits was there before it. */
class PipelineJob(
    val id: JobId,
    val awaits: Set<JobId>,
    val priority: Priority = Priority.NORMAL,
    /** When it is due, in seconds of any one clock; null where it has no deadline. */
    val dueAtS: Double? = null,
)

/**
 * What pipelines mean, plain and slow: everything is worked out anew from edges and marks at every question. For comparison
 * with the real class.
 */
class PipelineModel {
    private val jobs = LinkedHashMap<JobId, PipelineJob>()
    private val done = HashSet<JobId>()
    private val cancelled = HashSet<JobId>()

    val ids: Set<JobId> get() = jobs.keys

    fun add(job: PipelineJob) {
        require(job.id !in jobs && jobs.keys.containsAll(job.awaits)) { "${job.id} is known, or awaits an unknown job" }
        jobs[job.id] = job
    }

    /** All tasks of a job have ended; what is blocked or aborted can't become done. */
    fun markDone(id: JobId) {
        require(!isBlocked(id) && !isAborted(id)) { "$id can't be done" }
        done += id
    }

    /** A user cancels a job; what is done stays done. */
    fun markCancelled(id: JobId) {
        if (!isDone(id)) cancelled += id
    }

    fun awaits(id: JobId): Set<JobId> = jobs.getValue(id).awaits

    /** All that the job needs, directly or through others. */
    fun predecessors(id: JobId): Set<JobId> = awaits(id) + awaits(id).flatMap { predecessors(it) }

    /** All that need the job, directly or through others. */
    fun successors(id: JobId): Set<JobId> = jobs.keys.filter { id in predecessors(it) }.toSet()

    fun isDone(id: JobId): Boolean = id in done

    /** Cancelled itself, or after a job that is. */
    fun isAborted(id: JobId): Boolean = !isDone(id) && (id in cancelled || awaits(id).any(::isAborted))

    /** Something that it needs is neither done nor aborted: it may neither start nor end. */
    fun isBlocked(id: JobId): Boolean = !isAborted(id) && awaits(id).any { !isDone(it) }

    /** All that it needs is done, and it is itself neither done nor aborted: it may start. */
    fun isReleased(id: JobId): Boolean = !isDone(id) && !isAborted(id) && awaits(id).all(::isDone)

    private fun pendingWithSuccessors(id: JobId): List<PipelineJob> =
        (setOf(id) + successors(id)).filter { !isDone(it) && !isAborted(it) }.map(jobs::getValue)

    /** The most important priority among a pending job and the pending ones that need it; null for one that is over. */
    fun effectivePriority(id: JobId): Priority? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).minOf { it.priority }

    /** The earliest deadline among a pending job and the pending ones that need it; null where there is none. */
    fun tightestDueS(id: JobId): Double? =
        if (isDone(id) || isAborted(id)) null else pendingWithSuccessors(id).mapNotNull { it.dueAtS }.minOrNull()
}

/** Random pipelines and what becomes of them, by seed. */
class RandomPipelines(private val random: Random) {
    /** What happens to a pipeline, in an order in which it can. */
    sealed interface Step {
        class Submit(val job: PipelineJob) : Step

        class Complete(val id: JobId) : Step

        class Cancel(val id: JobId) : Step
    }

    /** Acyclic: each job awaits up to [mostAwaited] of those before it, mostly late ones, so that long chains come about. */
    fun graph(jobs: Int, mostAwaited: Int = 3): List<PipelineJob> {
        val made = ArrayList<PipelineJob>()
        repeat(jobs) { number -> made += job(number, made.map { it.id }, mostAwaited) }
        return made
    }

    private fun job(number: Int, earlier: List<JobId>, mostAwaited: Int): PipelineJob {
        val wanted = random.nextInt(mostAwaited + 1)
        val near = earlier.takeLast(NEAR)
        val awaits = (0 until wanted).mapNotNull { (if (random.nextInt(FAR_ONE_IN) == 0) earlier else near).anyOne() }.toSet()
        val dueAtS = if (random.nextInt(3) == 0) null else random.nextInt(1000).toDouble()
        return PipelineJob(JobId("job-${FIRST + number}"), awaits, Priority.entries[random.nextInt(Priority.entries.size)], dueAtS)
    }

    /** Submissions, ends and cancellations, mixed; the model given to [each] stands as after that step. */
    fun play(jobs: Int, each: (Step, PipelineModel) -> Unit): PipelineModel {
        val model = PipelineModel()
        val toSubmit = ArrayDeque(graph(jobs))
        while (toSubmit.isNotEmpty() || model.ids.any(model::isReleased)) {
            val step = nextStep(toSubmit, model) ?: continue
            when (step) {
                is Step.Submit -> model.add(step.job)
                is Step.Complete -> model.markDone(step.id)
                is Step.Cancel -> model.markCancelled(step.id)
            }
            each(step, model)
        }
        return model
    }

    private fun nextStep(toSubmit: ArrayDeque<PipelineJob>, model: PipelineModel): Step? = when (random.nextInt(CHOICES)) {
        in 0..4 -> toSubmit.removeFirstOrNull()?.let(Step::Submit)
        in 5..8 ->
            model.ids
                .filter(model::isReleased)
                .anyOne()
                ?.let(Step::Complete)
        // Also what is over: cancelling that changes nothing.
        else ->
            model.ids
                .toList()
                .anyOne()
                ?.takeIf { random.nextInt(3) == 0 }
                ?.let(Step::Cancel)
    }

    private fun <T> List<T>.anyOne(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private companion object {
        const val FIRST = 1000
        const val NEAR = 5
        const val FAR_ONE_IN = 5
        const val CHOICES = 10
    }
}
