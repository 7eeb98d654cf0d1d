package copperglade.soak

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.Json
import copperglade.protocol.stringOrNull
import copperglade.sim.SimSite
import copperglade.sim.submissionBody
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Users who submit pipelines, ask, repeat and cancel at all controllers, and send what can't be accepted. */
class SoakUsers(private val site: SoakSite) {
    private val random = site.random
    private val referee = site.referee
    private var submitted = 0
    var submitting = true

    fun start() = submitNext()

    private fun submitNext() {
        if (!submitting) return
        submit()
        if (random.nextInt(ODD_ONE_IN) == 0) sendOdd()
        val interval = maxOf(MIN_INTERVAL_MS, USUAL_INTERVAL_MS * REFERENCE_WORKERS / site.options.workers)
        site.loop.after(interval.milliseconds) { submitNext() }
    }

    private fun submit() {
        val number = ++submitted
        val service = number % SERVICE_ONE_IN == 0
        val earlier = referee.jobs.values
            .filter { it.accepted && it.spec.kind != JobKind.SERVICE }
            .takeLast(RECENT)
        val dependencies = if (service ||
            random.nextInt(3) == 0
        ) {
            emptyList()
        } else {
            earlier.shuffled(random).take(random.nextInt(3)).map { it.spec.id }
        }
        val most = 6 + site.options.workers / 10
        val spec = SimSite.job(
            number,
            tasks = 1 + random.nextInt(if (service) 3 else most),
            cpus = 2.0,
            service = service,
            estimatedSeconds = 5.0,
        )
        referee.jobs[spec.id] = SoakReferee.ObservedJob(spec, dependencies)
        send(spec.id)
        if (random.nextInt(CANCEL_ONE_IN) == 0) site.loop.after(random.nextInt(LATEST_CANCEL_MS).milliseconds) { cancel(spec.id) }
    }

    private fun anyNode() = random.nextInt(site.options.nodes)

    private fun send(id: JobId) {
        val job = referee.jobs.getValue(id)
        site.ask(anyNode(), Request(Method.POST, "/submissions", submissionBody(job.spec, job.dependencies))) { reply ->
            when (reply?.status) {
                HttpStatus.OK, HttpStatus.CREATED -> {
                    if (!job.accepted) {
                        referee.accepted(id)
                        site.loop.after(ASK_INTERVAL) { ask(id) }
                        // Looked at closely, right after it was accepted.
                        repeat(site.options.nodes) { askOnce(id, it) }
                    }
                    if (random.nextInt(REPEAT_ONE_IN) == 0) site.loop.after(random.nextInt(LATEST_CANCEL_MS).milliseconds) { send(id) }
                }
                HttpStatus.BAD_REQUEST, HttpStatus.UNPROCESSABLE_CONTENT, HttpStatus.NOT_FOUND -> referee.refused(id, reply.status)
                else -> if (submitting || job.accepted) site.loop.after(RETRY) { send(id) }
            }
        }
    }

    private fun ask(id: JobId) {
        askOnce(id, anyNode())
        val job = referee.jobs.getValue(id)
        site.loop.after(if (job.finished) ASK_FINISHED_INTERVAL else ASK_INTERVAL) { ask(id) }
    }

    fun askOnce(id: JobId, node: Int) {
        val askedAt = site.loop.now().millis
        site.ask(node, Request(Method.GET, "/submissions/$id")) { reply ->
            if (reply?.status == HttpStatus.NOT_FOUND) referee.refused(id, reply.status)
            val status = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body)?.stringOrNull("status") }
            if (status != null) referee.recordStatus(id, status, askedAt)
        }
    }

    fun cancel(id: JobId) {
        val job = referee.jobs.getValue(id)
        if (!job.accepted) {
            if (submitting) site.loop.after(RETRY) { cancel(id) }
            return
        }
        job.cancelRequested = true
        val askedAt = site.loop.now().millis
        site.ask(anyNode(), Request(Method.POST, "/submissions/$id/cancel")) { reply ->
            val status = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body)?.stringOrNull("status") }
            if (status == null) {
                site.loop.after(RETRY) { cancel(id) }
            } else {
                referee.recordStatus(id, status, askedAt)
                repeat(site.options.nodes) { askOnce(id, it) }
            }
        }
    }

    /** Services run until they are cancelled: all of them, for the end. */
    fun cancelServices() = referee.jobs
        .filterValues { it.spec.kind == JobKind.SERVICE && it.accepted && !it.finished && !it.cancelRequested }
        .keys
        .forEach(::cancel)

    /** What lacks a field, fits no machine, names nobody's job, or is no JSON at all. */
    private fun sendOdd() {
        val number = ODD_FROM + random.nextInt(ODD_FROM)
        val good = submissionBody(SimSite.job(number, tasks = 1), emptyList()).decodeToString()
        val bad = when (random.nextInt(4)) {
            0 -> good.replace("\"vcpus\":2.0", "\"vcpus\":2000.0")
            1 -> good.replace("\"manifest\":\"img-1\",", "")
            2 -> submissionBody(SimSite.job(number, tasks = 1), listOf(JobId("job-${ODD_FROM * 3 + number}"))).decodeToString()
            else -> good.dropLast(random.nextInt(good.length - 1) + 1)
        }
        check(bad != good)
        site.ask(anyNode(), Request(Method.POST, "/submissions", bad.encodeToByteArray())) { reply ->
            if (reply?.status == HttpStatus.OK || reply?.status == HttpStatus.CREATED) referee.acceptedBad("job-$number")
        }
    }

    private companion object {
        const val USUAL_INTERVAL_MS = 400
        const val REFERENCE_WORKERS = 12
        const val MIN_INTERVAL_MS = 120
        const val SERVICE_ONE_IN = 12
        const val CANCEL_ONE_IN = 5
        const val REPEAT_ONE_IN = 10
        const val ODD_ONE_IN = 8
        const val RECENT = 12
        const val LATEST_CANCEL_MS = 12_000
        const val ODD_FROM = 500_000
        val RETRY = 1.seconds
        val ASK_INTERVAL = 1.seconds
        val ASK_FINISHED_INTERVAL = 5.seconds
    }
}
