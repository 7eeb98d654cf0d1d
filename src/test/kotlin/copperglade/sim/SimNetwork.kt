package copperglade.sim

import copperglade.protocol.Endpoint
import copperglade.transport.HttpClient
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import kotlin.time.Duration.Companion.milliseconds

/** A direct command from [from] that the worker of the machine [to] has executed and answered. */
class ExecutedCommand(val from: String, val to: String, val request: Request, internal val endpoint: Endpoint)

/** The hosts of a simulated site and the messages between them, with the faults of [NetworkFaults]. */
class SimNetwork(private val sim: Simulation, private val observer: WireObserver = WireObserver {}) : NetworkFaults(sim) {
    private class Host(val name: String, val loop: SimLoop, val handler: RequestHandler)

    private val hosts = HashMap<Endpoint, Host>()

    /** The number of requests sent by all hosts. */
    var requestsSent = 0
        private set

    /** Changes a request of the given sender, or an answer. Only tests set functions other than the identity. */
    var tamperRequest: (String, Request) -> Request = { _, request -> request }
    var tamperAnswer: (Transmission, Request, Reply) -> Reply = { _, _, reply -> reply }

    /** Receives the body of each message with commands when the message is sent. */
    var onCommandsSent: (ByteArray) -> Unit = {}

    /** The direct commands that were executed and answered, in this order. */
    val executedCommands = ArrayList<ExecutedCommand>()

    /** Delivers a copy of [command] now, to whichever worker listens at its address. Nobody waits for the answer. */
    fun repeatCommand(command: ExecutedCommand) {
        val host = hosts[command.endpoint] ?: return
        repeatedCommands++
        observe(WireStep.COPY_DELIVERED, command.from, host.name, command.request)
        host.handler.handle(command.request) { observe(WireStep.ANSWER_DISCARDED, host.name, command.from, command.request, it) }
    }

    /** Delivers the requests to [at] to [handler], as the host [name] on [loop]. Replaces the previous listener at [at]. */
    fun listen(at: Endpoint, name: String, loop: SimLoop, handler: RequestHandler) {
        hosts[at] = Host(name, loop, handler)
    }

    /** Returns an HTTP client of the host [name], whose timeouts and callbacks run on [loop]. */
    fun callerOf(name: String, loop: SimLoop) = HttpClient { to, original, timeout, done ->
        val call = Call(name, loop, to, original, done)
        requestsSent++
        loop.after(timeout) { call.finish(null) }
        call.send(tamperRequest(name, original))
    }

    private fun hostName(at: Endpoint) = hosts[at]?.name ?: "$at"

    private fun observe(step: WireStep, from: String, to: String, request: Request, reply: Reply? = null) =
        observer.observe(WireEvent(step, sim.nowMillis, from, to, request, reply))

    /** One request of the host [from], until its answer arrives or its timeout expires. */
    private inner class Call(
        private val from: String,
        private val loop: SimLoop,
        private val to: Endpoint,
        private val original: Request,
        private val done: (Reply?) -> Unit,
    ) {
        private var finished = false

        fun finish(reply: Reply?) {
            if (finished || !loop.alive) return
            finished = true
            observe(if (reply == null) WireStep.UNANSWERED else WireStep.ANSWER_DELIVERED, hostName(to), from, original, reply)
            loop.guard { done(reply) }
        }

        fun send(request: Request) {
            observe(WireStep.REQUEST_SENT, from, hostName(to), request)
            if (duplicateOneIn > 0 && request.path == HEARTBEAT && sim.random.nextInt(duplicateOneIn) == 0) duplicate(request)
            if (request.path == COMMAND) onCommandsSent(request.body)
            val host = hosts[to]
            if (dropsRequest(request)) return
            if (host == null || !host.loop.alive) {
                loop.after(2.milliseconds) { finish(null) }
                return
            }
            val path = request.path.substringBefore('?')
            transmit(Transmission(from, host.name, path, isAnswer = false), loop.millisBusy) { arrive(host, path, request) }
        }

        private fun arrive(host: Host, path: String, request: Request) {
            if (host.name == STATE && isRefused(from)) {
                refusals++
                return answer(host, path, request, Reply(UNAVAILABLE))
            }
            val appliesLate = path == TRANSACTION && lateWriteOneIn > 0 && sim.random.nextInt(lateWriteOneIn) == 0
            if (appliesLate) return applyLate(request)
            // A restarted process may have replaced the listener while the request was in transit.
            hosts[to]?.let { currentHost -> currentHost.loop.whenNotFrozen { handle(host, currentHost, path, request) } }
        }

        private fun handle(host: Host, currentHost: Host, path: String, request: Request) {
            if (!currentHost.loop.alive) return
            observe(WireStep.REQUEST_DELIVERED, from, currentHost.name, request)
            currentHost.loop.guard {
                currentHost.handler.handle(Request(request.method, request.path, request.body)) { reply ->
                    if (path == COMMAND && reply.status == OK) onCommandExecuted(ExecutedCommand(from, host.name, request, to))
                    if (host.name == STATE && isRefused(from)) {
                        withholdAnswer(from) { answer(host, path, request, reply) }
                    } else {
                        answer(host, path, request, reply)
                    }
                }
            }
        }

        private fun answer(host: Host, path: String, request: Request, reply: Reply) {
            val back = Transmission(host.name, from, path, isAnswer = true)
            val sent = tamperAnswer(back, request, reply)
            observe(WireStep.ANSWER_SENT, host.name, from, request, sent)
            if (path == HEARTBEAT && sent.status == OK) onCommandsSent(sent.body)
            transmit(back, host.loop.millisBusy) { loop.whenNotFrozen { finish(sent) } }
        }

        private fun onCommandExecuted(command: ExecutedCommand) {
            executedCommands += command
            if (repeatCommandOneIn == 0 || sim.random.nextInt(repeatCommandOneIn) > 0) return
            sim.after(repeatDelayMillis()) { repeatCommand(command) }
        }

        private fun duplicate(request: Request) {
            sim.after(500.0 + sim.random.nextInt(maxDuplicateDelayMillis)) {
                val currentHost = hosts[to]
                if (currentHost != null && currentHost.loop.alive) {
                    duplicatesDelivered++
                    val copy = Request(request.method, request.path, tamperDuplicate(request.body))
                    observe(WireStep.COPY_DELIVERED, from, currentHost.name, copy)
                    currentHost.handler.handle(copy) { observe(WireStep.ANSWER_DISCARDED, currentHost.name, from, copy, it) }
                }
            }
        }

        private fun applyLate(request: Request) = sim.after(2_000.0 + sim.random.nextInt(10_000)) {
            lateWrites++
            observe(WireStep.LATE_WRITE, from, hostName(to), request)
            hosts[to]?.handler?.handle(request) { reply ->
                observe(WireStep.ANSWER_DISCARDED, hostName(to), from, request, reply)
                if (reply.status == OK) lateWritesApplied++
            }
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val STATE = "state"
        const val HEARTBEAT = "/checkin"
        const val COMMAND = "/do"
        const val TRANSACTION = "/multi"
    }
}
