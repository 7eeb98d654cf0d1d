package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.stringOrNull
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration.Companion.seconds

/**
 * The users of a simulated site. They submit jobs through any controller, retry until they receive an answer, poll until the end of the
 * scenario, and pass every answer to the [referee].
 */
class SimUsers(
    private val sim: Simulation,
    private val network: SimNetwork,
    private val loop: SimLoop,
    private val nodes: Int,
    private val referee: SiteReferee,
) {
    private val users get() = referee.users

    /** Submits a job with [dependencies], which were submitted before. It is sent once the acceptance of all of them is confirmed. */
    fun submit(spec: JobSpec, dependencies: List<JobId>, workSeconds: (Int) -> Double?) {
        val user = SimUser(spec, dependencies, sim.nowMillis, workSeconds)
        users[spec.id] = user
        submitUntilAccepted(user)
    }

    private fun submitUntilAccepted(user: SimUser) {
        if (user.accepted) return
        if (user.dependencies.any { users[it]?.accepted == false }) return later(1.0) { submitUntilAccepted(user) }
        request(Request(Method.POST, "/submissions", submissionBody(user.spec, user.dependencies))) { reply ->
            when (reply?.status) {
                200, 201 -> {
                    user.acceptedAtMillis = sim.nowMillis
                    user.acceptedStatus = reply.status
                    user.lastAnswerAtMillis = sim.nowMillis
                    later(5.0) { pollToEnd(user) }
                }
                // This submission is valid, and a repeated submission is answered with the status of the job.
                400, 422 -> referee.breach("forgotten", "${user.spec.id} refused with ${reply.status}")
                else -> later(1.0) { submitUntilAccepted(user) }
            }
        }
    }

    /** Repeats the submission of an accepted job, and checks the answer as one to a poll. */
    fun repeatSubmission(user: SimUser) {
        val requestedAtMillis = sim.nowMillis
        request(Request(Method.POST, "/submissions", submissionBody(user.spec, user.dependencies))) { reply ->
            if (reply?.status in REFUSAL_STATUSES) referee.breach("forgotten", "repeat of ${user.spec.id}: ${reply?.status}")
            if (reply?.status == 201) referee.breach("forgotten", "${user.spec.id} accepted once more")
            if (reply?.status == 200) recordStatus(user, reply, requestedAtMillis)
        }
    }

    /** Sends a poll in addition to the periodic ones. */
    fun poll(id: JobId, node: Int = randomNode()) {
        val user = users.getValue(id)
        val requestedAtMillis = sim.nowMillis
        requestAt(node, Request(Method.GET, "/submissions/$id")) { reply ->
            if (reply?.status == 404) referee.breach("forgotten", "$id is unknown")
            if (reply?.status == 200) recordStatus(user, reply, requestedAtMillis)
        }
    }

    private fun pollToEnd(user: SimUser) {
        val requestedAtMillis = sim.nowMillis
        request(Request(Method.GET, "/submissions/${user.spec.id}")) { reply ->
            if (reply?.status == 404) referee.breach("forgotten", "${user.spec.id} is unknown")
            if (reply?.status == 200) {
                user.lastAnswerAtMillis = sim.nowMillis
                recordStatus(user, reply, requestedAtMillis)
            }
            // The controllers must keep answering for a finished job.
            later(if (user.finished) 15.0 else 5.0) { pollToEnd(user) }
        }
    }

    private fun recordStatus(user: SimUser, reply: Reply, requestedAtMillis: Double) =
        referee.recordStatus(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMillis)

    /** Cancels a job that is accepted and not finished, and retries until the cancellation is answered. */
    fun cancel(id: JobId) {
        val user = users[id] ?: return
        if (!user.accepted || user.finished) return
        if (user.cancelRequestedAtMillis == null) user.cancelRequestedAtMillis = sim.nowMillis
        val requestedAtMillis = sim.nowMillis
        request(Request(Method.POST, "/submissions/$id/cancel")) { reply ->
            if (reply?.status == 200) recordStatus(user, reply, requestedAtMillis) else later(1.0) { cancel(id) }
        }
    }

    /** Sends at random a repeated submission, a late cancellation, a poll of a job that was never submitted, or an invalid submission. */
    fun sendOddRequest() {
        val known = users.values.filter { it.accepted }
        val number = FIRST_ODD_JOB + sim.random.nextInt(10_000)
        when (sim.random.nextInt(5)) {
            0 -> known.filter { !it.finished }.pickRandom()?.let(::repeatSubmission)
            1 -> known.filter { it.status == "done" }.pickRandom()?.let(::cancelDone)
            2 -> request(Request(Method.GET, "/submissions/job-$number")) {
                if (it?.status == 200) referee.breach("invented", "job-$number")
            }
            3 -> submitInvalid(number) { it.replace("\"vcpus\":2.0", "\"vcpus\":2000.0") }
            else -> submitInvalid(number) { it.replace("\"manifest\":\"img-1\",", "") }
        }
    }

    private fun cancelDone(user: SimUser) {
        val requestedAtMillis = sim.nowMillis
        request(Request(Method.POST, "/submissions/${user.spec.id}/cancel")) { reply ->
            if (reply?.status == 404) referee.breach("forgotten", "cancel of ${user.spec.id}")
            if (reply?.status == 200) recordStatus(user, reply, requestedAtMillis)
        }
    }

    private fun submitInvalid(number: Int, corrupt: (String) -> String) {
        val good = Json.write { JobSpecCodec.write(this, SimSite.job(number, tasks = 1)) }.decodeToString()
        val bad = corrupt(good)
        check(bad != good)
        request(Request(Method.POST, "/submissions", bad.encodeToByteArray())) { reply ->
            if (reply?.status == 200 || reply?.status == 201) referee.breach("accepted_bad", "job-$number")
        }
    }

    private fun <T> List<T>.pickRandom(): T? = if (isEmpty()) null else this[sim.random.nextInt(size)]

    /** Sends a request through a random controller, as the load balancer would. */
    fun request(request: Request, done: (Reply?) -> Unit) = requestAt(randomNode(), request, done)

    private fun randomNode() = sim.random.nextInt(nodes)

    fun requestAt(node: Int, request: Request, done: (Reply?) -> Unit) {
        network.callerOf("users", loop).call(SimAddresses.client(node), request, 5.seconds, done)
    }

    private fun later(seconds: Double, action: () -> Unit) = sim.after(seconds * 1000, action)

    private companion object {
        const val FIRST_ODD_JOB = 700_000
        val REFUSAL_STATUSES = listOf(400, 404, 422)
    }
}
