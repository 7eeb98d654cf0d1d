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
 * The time that the event loop spends on each kind of work, logged once a minute. The event loop's time limits how many machines a
 * controller can manage.
 */
class EventLoopMetrics(private val loop: EventLoop) {
    private class Usage {
        var count = 0
        var totalMicros = 0L
        var longestMicros = 0L

        fun add(micros: Long) {
            count++
            totalMicros += micros
            if (micros > longestMicros) longestMicros = micros
        }
    }

    private val usageByKind = TreeMap<String, Usage>()
    private var intervalStartedAt = loop.now()

    /** Starts logging the usage at regular intervals. */
    fun start() = loop.scheduleRepeating({ INTERVAL }, ::logUsage)

    /** Runs [action] and counts its time under [kind], also where [action] throws. Times of nested actions count under both kinds. */
    fun measure(kind: String, action: () -> Unit) {
        val startedAtMicros = loop.monotonicMicros()
        try {
            action()
        } finally {
            val micros = loop.monotonicMicros() - startedAtMicros
            usageByKind.getOrPut(kind) { Usage() }.add(micros)
        }
    }

    /** Wraps [handler] so that its time counts under `in:` and the first segment of the request's path. */
    fun measured(handler: RequestHandler) = RequestHandler { request: Request, responder: Responder ->
        measure("in:${firstSegment(request)}") { handler.handle(request, responder) }
    }

    /** Wraps [client] so that the time of its callbacks counts under `out:` and the first segment of the request's path. */
    fun measured(client: HttpClient) = HttpClient { endpoint: Endpoint, request: Request, timeout: Duration, onReply: (Reply?) -> Unit ->
        val kind = "out:${firstSegment(request)}"
        client.call(endpoint, request, timeout) { reply -> measure(kind) { onReply(reply) } }
    }

    private fun firstSegment(request: Request) = request.path
        .removePrefix("/")
        .substringBefore('/')
        .substringBefore('?')

    private fun logUsage() {
        val intervalSeconds = (loop.now().millis - intervalStartedAt.millis) / MILLIS_PER_SECOND
        intervalStartedAt = loop.now()
        if (intervalSeconds <= 0.0) return
        for ((kind, usage) in usageByKind) {
            val perSecond = "%.1f".format(usage.count / intervalSeconds)
            val millisPerSecond = "%.1f".format(usage.totalMicros / MICROS_PER_MILLI / intervalSeconds)
            log.info(
                "event_loop_usage kind={} per_s={} ms_per_s={} longest_ms={}",
                kind,
                perSecond,
                millisPerSecond,
                usage.longestMicros / MICROS_PER_MILLI.toLong(),
            )
        }
        usageByKind.clear()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val MICROS_PER_MILLI = 1000.0
        val INTERVAL = 60.seconds
        val log = LoggerFactory.getLogger("metrics")
    }
}
