package copperglade.observability

import copperglade.transport.EventLoop
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Responder
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** How long users wait for answers to one [kind] of request; logged once a minute where there were any. */
class RequestLatency(private val loop: EventLoop, private val kind: String) {
    private val histogram = Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS)
    private var unavailableAnswers = 0

    /** Logs at intervals, from now on. */
    fun start() = loop.scheduleRepeating({ INTERVAL }, ::logLatency)

    /** A responder that also records the time from now to the answer, which it passes on to [responder]. */
    fun timed(responder: Responder): Responder {
        val startedAt = loop.now()
        return Responder { reply: Reply ->
            histogram.recordValue((loop.now().millis - startedAt.millis).coerceIn(0, MAX_MILLIS))
            if (reply.status == HttpStatus.SERVICE_UNAVAILABLE) unavailableAnswers++
            responder.send(reply)
        }
    }

    private fun logLatency() {
        if (histogram.totalCount == 0L) return
        log.info(
            "request_latency kind={} answers={} unavailable={} p50_ms={} p99_ms={} max_ms={}",
            kind,
            histogram.totalCount,
            unavailableAnswers,
            histogram.getValueAtPercentile(50.0),
            histogram.getValueAtPercentile(99.0),
            histogram.maxValue,
        )
        histogram.reset()
        unavailableAnswers = 0
    }

    private companion object {
        const val MAX_MILLIS = 60_000L
        const val SIGNIFICANT_DIGITS = 2
        val INTERVAL = 60.seconds
        val log = LoggerFactory.getLogger("latency")
    }
}
