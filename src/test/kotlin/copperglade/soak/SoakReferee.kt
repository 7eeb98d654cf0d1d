package copperglade.soak

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.TaskId

/** A rule that was broken, and what was seen. */
class Breach(val atMs: Long, val rule: String, val what: String) {
    override fun toString() = "$atMs $rule: $what"
}

/**
 * Judges a run from outside: by what ran on machines and what users were answered, never by what controllers log or store.
 *
 * @param cancelMs the time within which all tasks of a cancelled job must be gone.
 */
class SoakReferee(private val now: () -> Long, private val cancelMs: Long, private val cpusMax: Double) {
    /** A job as its user and the machines see it. */
    class ObservedJob(val spec: JobSpec, val dependencies: List<JobId>) {
        var accepted = false
        var status: String? = null
        var cancelRequested = false
        var cancelledAtMs: Long? = null
        var acceptedAtMs: Long? = null
        var finishedAtMs: Long? = null
        var startedAtMs: Long? = null
        var lastAnswerAtMs = 0L
        val doneTasks = HashSet<Int>()
        val finished: Boolean get() = status == DONE || status == ABORTED
        val complete: Boolean get() = doneTasks.size == spec.tasks
    }

    /** A machine on which a task is; told apart by identity, since a machine that is back after a loss of power is another. */
    class Place(val machine: String, val type: String, val zone: String, val spot: Boolean, val incarnation: Any)

    val jobs = LinkedHashMap<JobId, ObservedJob>()
    val breaches = ArrayList<Breach>()
    private val running = HashMap<TaskId, Place>()
    private val reported = HashSet<String>()
    var starts = 0
        private set

    /** Everything that was seen, in order; kept where a run fails. */
    val events = ArrayList<String>()

    private fun event(text: String) {
        events += "${now()} $text"
    }

    private fun breach(rule: String, what: String) {
        if (!reported.add("$rule $what")) return
        breaches += Breach(now(), rule, what)
        event("BREACH $rule $what")
    }

    private fun predecessorsOf(job: ObservedJob): Set<ObservedJob> {
        val all = LinkedHashSet<ObservedJob>()
        val open = ArrayDeque(job.dependencies)
        while (open.isNotEmpty()) {
            val next = jobs[open.removeFirst()] ?: continue
            if (all.add(next)) open += next.dependencies
        }
        return all
    }

    /** Since when [job] has been cancelled in the eyes of a user: by itself, or by a job that it needs. */
    private fun cancelledAt(job: ObservedJob): Long? {
        val inherited = predecessorsOf(job).mapNotNull { it.cancelledAtMs }.minOrNull()
        val acceptedAt = job.acceptedAtMs
        val inheritedAt = if (inherited == null || acceptedAt == null) null else maxOf(inherited, acceptedAt)
        return listOfNotNull(job.cancelledAtMs, inheritedAt).minOrNull()
    }

    /** Whether the job need not be done: it, or one that it needs, was called off. */
    fun isCancelRequested(job: ObservedJob): Boolean = job.cancelRequested || predecessorsOf(job).any { it.cancelRequested }

    fun started(task: TaskId, place: Place) {
        starts++
        event("start $task on ${place.machine}")
        val job = jobs[task.job] ?: return breach("invented", "$task starts, and nobody submitted its job")
        if (job.startedAtMs == null) job.startedAtMs = now()
        val before = running.put(task, place)
        if (before != null &&
            before.incarnation !== place.incarnation
        ) {
            breach("ran_twice", "$task on ${before.machine} and ${place.machine}")
        }
        if (!job.spec.allows(place.type, place.zone, place.spot)) breach("wrong_place", "$task on ${place.machine} in ${place.zone}")
        predecessorsOf(job).firstOrNull { !it.complete }?.let { breach("too_early", "$task before ${it.spec.id} is done") }
        val used = running.keys.sumOf { jobs[it.job]?.spec?.request?.cpus ?: 0.0 }
        if (used > cpusMax + TOLERANCE) breach("quota", "$used CPUs with $task")
        checkCancelled(task)
    }

    fun ended(task: TaskId, place: Place, done: Boolean) {
        event("end $task on ${place.machine} done=$done")
        if (running[task]?.incarnation === place.incarnation) running.remove(task)
        if (done) jobs[task.job]?.doneTasks?.add(task.index)
    }

    private fun checkCancelled(task: TaskId) {
        val job = jobs[task.job] ?: return
        val since = cancelledAt(job) ?: return
        if (now() - since > cancelMs) breach("ran_cancelled", "$task")
    }

    /** Checks and records the [status] of [id] that a user got in answer to a poll sent at [askedAtMs]. */
    fun recordStatus(id: JobId, status: String, askedAtMs: Long) {
        val job = jobs.getValue(id)
        job.lastAnswerAtMs = now()
        val final = status == DONE || status == ABORTED
        // Of two polls in flight, the one sent before the final answer may still be answered with an earlier status.
        if (job.finished && !final && askedAtMs < (job.finishedAtMs ?: 0)) return
        if (status != job.status) event("told $id $status")
        if (job.finished && status != job.status) breach("went_back", "$id: ${job.status}, then $status")
        if (status == DONE && !job.complete) breach("not_done", "$id has ${job.doneTasks.size} of ${job.spec.tasks} tasks done")
        if (status == ABORTED && !isCancelRequested(job)) breach("went_back", "$id is cancelled by nobody")
        if (!job.finished && final) job.finishedAtMs = now()
        if (status == ABORTED && job.cancelledAtMs == null) job.cancelledAtMs = now()
        job.status = status
        val since = cancelledAt(job)
        if (!final && since != null && now() - since > cancelMs) breach("orphaned", "$id is called $status")
    }

    fun accepted(id: JobId) {
        val job = jobs.getValue(id)
        job.accepted = true
        if (job.acceptedAtMs == null) job.acceptedAtMs = now()
        job.lastAnswerAtMs = now()
        event("accepted $id")
    }

    /** An accepted job is refused or called unknown. */
    fun refused(id: JobId, status: Int) = breach("forgotten", "$id gets $status")

    /** What was sent and can't be accepted was. */
    fun acceptedBad(what: String) = breach("accepted_bad", what)

    /** To be called several times a second: what only time breaks. */
    fun check() {
        running.keys.forEach(::checkCancelled)
        for (task in running.keys) {
            val job = jobs[task.job] ?: continue
            val finishedAt = job.finishedAtMs ?: continue
            if (now() - finishedAt > cancelMs) breach("orphaned", "$task runs long after its job was called ${job.status}")
        }
    }

    /** To be called once there have been no faults since [faultFreeSinceMs], for long enough. */
    fun checkEnd(faultFreeSinceMs: Long) {
        for ((id, job) in jobs) {
            if (!job.accepted) continue
            if (job.lastAnswerAtMs < faultFreeSinceMs) breach("forgotten", "$id has had no answer since the troubles ended")
            val since = cancelledAt(job)
            if (since != null && now() - since > cancelMs && job.status != ABORTED) breach("orphaned", "$id was last called ${job.status}")
            if (!job.spec.isService && !isCancelRequested(job) && !job.finished) breach("left_waiting", "$id was last called ${job.status}")
        }
    }

    /** How long after their acceptance jobs without dependencies first started, in milliseconds. */
    fun startDelaysMs(): List<Double> = jobs.values
        .filter { it.dependencies.isEmpty() }
        .mapNotNull { job -> job.startedAtMs?.let { it - (job.acceptedAtMs ?: return@mapNotNull null).toDouble() } }

    /** Jobs of which something is still expected. */
    fun unfinished(): List<JobId> =
        jobs.filterValues { it.accepted && !it.finished && (!it.spec.isService || isCancelRequested(it)) }.keys.toList()

    private val JobSpec.isService get() = kind == JobKind.SERVICE

    private companion object {
        const val DONE = "done"
        const val ABORTED = "aborted"
        const val TOLERANCE = 1e-6
    }
}
