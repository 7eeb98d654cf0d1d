package copperglade.soak

import copperglade.protocol.Endpoint
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds

/** One way of a message: a request to a host, or the answer that comes back from it. */
class Passage(val from: String, val to: String, val path: String, val answer: Boolean)

/**
 * The links between controllers and all that is around them. Each message passes through here, so that a link can be cut one way or
 * both, be slow, lose messages, or deliver some of them late or twice. What is held back by a cut is delivered when it heals.
 */
class SoakNetwork(private val loop: EventLoop, private val random: Random) {
    private class Held(val passage: Passage, val deliver: () -> Unit)

    private val cuts = HashMap<Pair<String, String>, Int>()
    private val held = ArrayList<Held>()

    /** Callers that the state service refuses while it serves the others. */
    val refused = HashSet<String>()

    /** Messages that are lost on the way. */
    var loses: (Passage) -> Boolean = { false }

    /** By how many milliseconds a message is late. */
    var delayMs: (Passage) -> Int = { 0 }

    /** One in this many transactions is applied late, and one in this many at once, both without an answer; 0: none. */
    var lateWriteOneIn = 0
    var lostAnswerOneIn = 0

    /** One in this many heartbeats arrives a second time, late; one in this many commands arrives late, and unanswered; 0: none. */
    var lateHeartbeatOneIn = 0
    var lateCommandOneIn = 0

    /** One in this many commands that were executed and answered is executed again, from a second to several leases later; 0: none. */
    var repeatedCommandOneIn = 0
    var repeatedCommands = 0
        private set

    /** Messages that were held back, lost, late or refused: faults that had an effect. */
    var disturbed = 0
        private set

    fun cut(from: String, to: String) {
        cuts.merge(from to to, 1, Int::plus)
    }

    fun cutBothWays(one: String, other: String) {
        cut(one, other)
        cut(other, one)
    }

    /** Takes back one cut of this way; what it held back is delivered now. */
    fun endCut(from: String, to: String) {
        val way = from to to
        val left = (cuts[way] ?: return) - 1
        if (left > 0) cuts[way] = left else cuts.remove(way)
        deliverHeld()
    }

    fun endCutBothWays(one: String, other: String) {
        endCut(one, other)
        endCut(other, one)
    }

    /** Ends everything that is wrong with the network. */
    fun heal() {
        cuts.clear()
        refused.clear()
        loses = { false }
        delayMs = { 0 }
        lateWriteOneIn = 0
        lostAnswerOneIn = 0
        lateHeartbeatOneIn = 0
        lateCommandOneIn = 0
        repeatedCommandOneIn = 0
        deliverHeld()
    }

    private fun deliverHeld() {
        val free = held.filter { !isCut(it.passage) }
        held.removeAll(free.toSet())
        free.forEach { it.deliver() }
    }

    private fun isCut(passage: Passage) = (passage.from to passage.to) in cuts

    private fun travel(passage: Passage, deliver: () -> Unit) {
        if (loses(passage)) {
            disturbed++
            return
        }
        val late = delayMs(passage)
        if (late > 0) {
            disturbed++
            loop.after(late.milliseconds) { arrive(passage, deliver) }
        } else {
            arrive(passage, deliver)
        }
    }

    private fun arrive(passage: Passage, deliver: () -> Unit) {
        if (isCut(passage)) {
            disturbed++
            held += Held(passage, deliver)
        } else {
            deliver()
        }
    }

    /** What [handler] gets of the requests that [from] sends to [to], and what [from] gets of the answers. */
    fun link(from: String, to: String, handler: RequestHandler) = RequestHandler { request, responder ->
        val path = request.path.substringBefore('?')
        travel(Passage(from, to, path, answer = false)) {
            val answer = Responder { reply -> travel(Passage(to, from, path, answer = true)) { responder.send(reply) } }
            when {
                to == STATE && from in refused -> {
                    disturbed++
                    answer.send(Reply(UNAVAILABLE))
                }
                path == TRANSACTION && oneIn(lateWriteOneIn) -> late { handler.handle(request) {} }
                path == TRANSACTION && oneIn(lostAnswerOneIn) -> {
                    disturbed++
                    handler.handle(request) {}
                }
                path == COMMAND && oneIn(lateCommandOneIn) -> late { handler.handle(request) {} }
                path == COMMAND && oneIn(repeatedCommandOneIn) -> handler.handle(request, repeatOnceExecuted(handler, request, answer))
                else -> handler.handle(request, answer)
            }
        }
    }

    /** Sends the first answer on, and has [request] handled once more if it was executed. Nobody waits for the second answer. */
    private fun repeatOnceExecuted(handler: RequestHandler, request: Request, answer: Responder) = Responder { reply ->
        answer.send(reply)
        if (reply.status == OK) {
            loop.after(repeatDelay()) {
                repeatedCommands++
                handler.handle(request) {}
            }
        }
    }

    private fun repeatDelay() = (MIN_LATENESS_MS + random.nextInt(MAX_REPEAT_DELAY_MS - MIN_LATENESS_MS)).milliseconds

    private fun oneIn(number: Int) = number > 0 && random.nextInt(number) == 0

    private fun late(action: () -> Unit) {
        disturbed++
        loop.after((MIN_LATENESS_MS + random.nextInt(MAX_LATENESS_MS - MIN_LATENESS_MS)).milliseconds, action)
    }

    /** The requests that [from] sends over [caller] to those of whom [nameOf] tells. */
    fun caller(from: String, caller: HttpClient, nameOf: (Endpoint) -> String) = HttpClient { to, request, timeout, done ->
        val path = request.path.substringBefore('?')
        val name = nameOf(to)
        var over = false

        fun finish(reply: Reply?) {
            if (over) return
            over = true
            done(reply)
        }
        loop.after(timeout) { finish(null) }
        if (path == HEARTBEAT && oneIn(lateHeartbeatOneIn)) late { caller.call(to, request, timeout) {} }
        travel(Passage(from, name, path, answer = false)) {
            caller.call(to, request, timeout) { reply ->
                if (reply == null) finish(null) else travel(Passage(name, from, path, answer = true)) { finish(reply) }
            }
        }
    }

    companion object {
        const val STATE = "state"
        const val CLOUD = "cloud"
        const val USERS = "users"
        const val TRANSACTION = "/multi"
        const val COMMAND = "/do"
        const val HEARTBEAT = "/checkin"
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val MIN_LATENESS_MS = 1_000
        private const val MAX_LATENESS_MS = 9_000

        /** Three times the workers' lease. */
        private const val MAX_REPEAT_DELAY_MS = 18_000
    }
}
