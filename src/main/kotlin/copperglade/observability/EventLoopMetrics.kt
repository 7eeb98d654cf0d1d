package copperglade.observability

import copperglade.protocol.Endpoint
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import org.slf4j.LoggerFactory
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What the event loop is busy with, by kind: how often, for how long in all, and at the longest. Logged once a minute:
 * at hundreds of machines a controller is as good as its loop has time left.
 */
class EventLoopMetrics(private val loop: EventLoop) {
    private class Tally {
        var count = 0
        var micros = 0L
        var longest = 0L
    }

    private val tallies = TreeMap<String, Tally>()
    private var since = loop.now()

    fun start() = loop.again({ INTERVAL }, ::report)

    fun measure(kind: String, action: () -> Unit) {
        val began = loop.micros()
        try {
            action()
        } finally {
            val took = loop.micros() - began
            val tally = tallies.getOrPut(kind) { Tally() }
            tally.count++
            tally.micros += took
            if (took > tally.longest) tally.longest = took
        }
    }

    fun measured(handler: RequestHandler) = RequestHandler { request: Request, responder: Responder ->
        measure("in ${kindOf(request)}") { handler.handle(request, responder) }
    }

    fun measured(caller: HttpClient) = HttpClient { to: Endpoint, request: Request, timeout: Duration, done: (Reply?) -> Unit ->
        val kind = "out ${kindOf(request)}"
        caller.call(to, request, timeout) { reply -> measure(kind) { done(reply) } }
    }

    private fun kindOf(request: Request) = request.path
        .removePrefix("/")
        .substringBefore('/')
        .substringBefore('?')

    private fun report() {
        val seconds = (loop.now().ms - since.ms) / MS
        since = loop.now()
        if (tallies.isEmpty() || seconds <= 0.0) return
        log.info(
            "per second, ms per second, longest ms: {}",
            tallies.entries.joinToString { (kind, tally) ->
                val perSecond = "%.1f".format(tally.count / seconds)
                "$kind $perSecond ${"%.1f".format(tally.micros / MS / seconds)} ${tally.longest / MICROS_PER_MS}"
            },
        )
        tallies.clear()
    }

    private companion object {
        const val MS = 1000.0
        const val MICROS_PER_MS = 1000
        val INTERVAL = 60.seconds
        val log = LoggerFactory.getLogger("workload")
    }
}
